package settings

// Check reads a file of any sort, told by its sections, and returns its faults.
func Check(path string) error {
	d := readDocument(path)
	for _, s := range d.sections {
		switch s.name {
		case sectionDeployment:
			_, err := LoadDeployment(path)
			return err
		case sectionRouter:
			_, err := LoadRouter(path)
			return err
		case sectionGateway:
			_, err := LoadGateway(path)
			return err
		case sectionControl:
			if d.maybe(sectionList).line > 0 {
				_, err := LoadSelfFormingControl(path)
				return err
			}
			_, err := LoadControl(path)
			return err
		}
	}
	if len(d.faults) > 0 {
		return d.result()
	}
	d.faults = append(d.faults, Fault{File: path, Expected: "a section [deployment], [router], [gateway] or [control]"})
	return d.result()
}
