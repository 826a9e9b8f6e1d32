package main

// Point is one measured size.
type Point struct {
	X, Y float64
}

// Slope is a straight line through sizes measured on this machine.
type Slope struct {
	// Key names the slope in the page and its plot's file.
	Key    string
	Title  string
	XLabel string
	YLabel string
	Points []Point
	// Base is the line's value at 0, PerX its rise, R2 its share of explained
	// variance.
	Base, PerX, R2 float64
}

// fit puts the line through the points by least squares.
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

// Largest returns the largest size measured.
func (s *Slope) Largest() float64 {
	most := 0.0
	for _, p := range s.Points {
		most = max(most, p.X)
	}
	return most
}

// Stretch returns how many times the largest measured size x is.
func (s *Slope) Stretch(x float64) float64 { return x / s.Largest() }
