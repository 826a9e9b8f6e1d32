package main

// Point is one measurement: the cost Y at the size X.
type Point struct {
	X, Y float64
}

// Slope is a cost measured at several sizes, with the straight line that is
// fitted to it. It is stored as JSON under the names of its fields.
type Slope struct {
	// Key identifies the slope in the page; it is also the name of the plot's
	// file, without the extension.
	Key   string
	Title string
	// XLabel and YLabel are the axes' labels and state the units.
	XLabel string
	YLabel string
	Points []Point
	// Base is the line's value at 0, PerX its rise per unit of X, and R2 the
	// coefficient of determination, from 0 to 1.
	Base, PerX, R2 float64
}

// fit sets Base, PerX and R2 by least squares. If all sizes are equal, the line
// is constant at the mean.
func (s *Slope) fit() {
	n := float64(len(s.Points))
	var sx, sy, sxx, sxy, syy float64
	for _, p := range s.Points {
		sx += p.X
		sy += p.Y
		sxx += p.X * p.X
		sxy += p.X * p.Y
		syy += p.Y * p.Y
	}
	spread := n*sxx - sx*sx
	if spread == 0 {
		s.Base = sy / n
		return
	}
	s.PerX = (n*sxy - sx*sy) / spread
	s.Base = (sy - s.PerX*sx) / n
	if total := n*syy - sy*sy; total > 0 {
		s.R2 = (n*sxy - sx*sy) / spread * (n*sxy - sx*sy) / total
	}
}

// At returns the line's value at x.
func (s *Slope) At(x float64) float64 { return s.Base + s.PerX*x }

// Largest returns the largest measured size.
func (s *Slope) Largest() float64 {
	largest := 0.0
	for _, p := range s.Points {
		largest = max(largest, p.X)
	}
	return largest
}

// Stretch returns the factor of an extrapolation to x: x divided by the largest
// measured size.
func (s *Slope) Stretch(x float64) float64 { return x / s.Largest() }
