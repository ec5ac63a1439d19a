package hollow

import "gonum.org/v1/gonum/mat"

// fit is a linear model of a figure over sizes: its value without any proxies and endpoints, and its increase per proxy and per
// endpoint.
type fit struct{ Base, Proxy, Endpoint float64 }

// fitOf returns the least-squares fit. A number that does not vary over the sizes gets the slope 0. ok is false if nothing
// varies, if there are fewer sizes than unknowns, or if proxies and endpoints vary in proportion.
func fitOf(sizes []Size, values []float64) (f fit, ok bool) {
	var proxies, endpoints bool
	for _, s := range sizes {
		proxies = proxies || s.Proxies != sizes[0].Proxies
		endpoints = endpoints || s.Endpoints != sizes[0].Endpoints
	}
	columns := []func(Size) float64{func(Size) float64 { return 1 }}
	into := []*float64{&f.Base}
	if proxies {
		columns, into = append(columns, func(s Size) float64 { return float64(s.Proxies) }), append(into, &f.Proxy)
	}
	if endpoints {
		columns, into = append(columns, func(s Size) float64 { return float64(s.Endpoints) }), append(into, &f.Endpoint)
	}
	if len(sizes) < len(columns) || len(columns) < 2 {
		return fit{}, false
	}
	a := mat.NewDense(len(sizes), len(columns), nil)
	b, x := mat.NewVecDense(len(sizes), values), mat.NewVecDense(len(columns), nil)
	for i, s := range sizes {
		for j, column := range columns {
			a.Set(i, j, column(s))
		}
	}
	if err := x.SolveVec(a, b); err != nil { // proxies and endpoints vary in proportion
		return fit{}, false
	}
	for j, to := range into {
		*to = x.AtVec(j)
	}
	return f, true
}
