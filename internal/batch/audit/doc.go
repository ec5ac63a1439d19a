// Package audit keeps the record of regulated runs, from the proxy that sends them to the auditor who reads the
// files.
//
// A Recorder, in each proxy, owns the entries that are not yet stored, and delivers them to stores. A Store, in each
// process with that role, owns the audit files of its data folder and appends what proxies deliver. CheckFiles, which
// the command "dunetide audit" runs, reads files of any stores offline and reports what is wrong with them or with
// the runs in them.
//
// # Files
//
// A store appends to audit.log, a file of package recordlog. Each record is the SHA-256 hash of the record before and
// one entry, so that a change of any byte shows in all later records. Files that are full are put aside as
// audit-N.log, and the next one goes on with their chain. Each file begins with an entry that names the chain and the
// number of the file in it, and has the text of all certificates that its runs name.
//
// # Invariants
//
//   - A run is sent only once there is space for its beginning and its end in the recorder.
//   - An entry is dropped from the recorder when as many stores as required have synced it to disk. Until then it is
//     delivered again, so a file may have an entry twice.
//   - A store changes nothing in a file that does not check: it accepts no more entries, and leaves the file to the
//     auditor.
//
// docs/certified.md says what the record proves.
package audit
