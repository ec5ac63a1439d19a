// Package audit keeps the audit record of regulated runs, from the proxy that sends them to the auditor who reads the
// files.
//
// A Recorder, one in each proxy, holds the entries that are not yet stored, and delivers them to stores. A Store, one
// in each process with that role, appends delivered entries to the audit files of its data folder. CheckFiles, which
// the command "dunetide audit" runs, reads files of any stores offline and reports problems in the files and in the
// runs that they record.
//
// # Files
//
// A store appends to audit.log, a file of package recordlog. Each record is the SHA-256 hash of the previous record and
// one entry, so that a change of any byte is detected in all later records. Full files are renamed to audit-N.log, and
// the next file continues their chain. Each file begins with an entry that identifies the chain and the number of the
// file in it, and contains the text of all certificates that its runs refer to.
//
// # Invariants
//
//   - A run is sent only once the recorder has space for its start and its end.
//   - An entry is dropped from the recorder once as many stores as required have synced it to disk. Until then it is
//     delivered again, so a file may have an entry twice.
//   - A store does not modify a file whose chain is broken: it accepts no more entries, and leaves the file to the
//     auditor.
//
// docs/certified.md describes what the audit record proves.
package audit
