package bench

// UnknownError names something that the bench doesn't know.
type UnknownError struct{ Kind, Name string }

// Error implements error.
func (e *UnknownError) Error() string { return "unknown " + e.Kind + " " + e.Name }

// NotImplementedError says that a scenario or policy isn't built yet.
type NotImplementedError struct{ Kind, Name string }

// Error implements error.
func (e *NotImplementedError) Error() string { return e.Kind + " " + e.Name + " isn't built yet" }

// StartError says that a policy didn't become ready.
type StartError struct{ Policy, Reason string }

// Error implements error.
func (e *StartError) Error() string { return "policy " + e.Policy + " didn't start: " + e.Reason }

// IntentError says that an operator's intent wasn't planned.
type IntentError struct{ Kind, State string }

// Error implements error.
func (e *IntentError) Error() string { return "intent " + e.Kind + " is " + e.State }
