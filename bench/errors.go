package bench

// UnknownError names something that the bench doesn't know.
type UnknownError struct{ What, Name string }

// Error implements error.
func (e *UnknownError) Error() string { return "unknown " + e.What + " " + e.Name }

// NotBuiltError says that a scenario or policy isn't built yet.
type NotBuiltError struct{ What, Name string }

// Error implements error.
func (e *NotBuiltError) Error() string { return e.What + " " + e.Name + " isn't built yet" }

// StartError says that a policy didn't become ready.
type StartError struct{ Policy, What string }

// Error implements error.
func (e *StartError) Error() string { return "policy " + e.Policy + " didn't start: " + e.What }

// IntentError says that an operator's intent wasn't planned.
type IntentError struct{ Kind, State string }

// Error implements error.
func (e *IntentError) Error() string { return "intent " + e.Kind + " is " + e.State }
