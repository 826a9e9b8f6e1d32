package bench

// UnknownError reports an unknown name; Kind is deployment, scenario or policy.
type UnknownError struct{ Kind, Name string }

// Error implements error.
func (e *UnknownError) Error() string { return "unknown " + e.Kind + " " + e.Name }

// NotImplementedError reports a scenario or policy that isn't implemented.
type NotImplementedError struct{ Kind, Name string }

// Error implements error.
func (e *NotImplementedError) Error() string { return e.Kind + " " + e.Name + " is not implemented" }

// StartError reports a policy that didn't become ready, or one without a known
// control leader.
type StartError struct{ Policy, Reason string }

// Error implements error.
func (e *StartError) Error() string { return "policy " + e.Policy + " didn't start: " + e.Reason }

// IntentError reports an operator's intent that has no plan or whose plan was
// refused. State is the intent's state.
type IntentError struct{ Kind, State string }

// Error implements error.
func (e *IntentError) Error() string { return "intent " + e.Kind + " is " + e.State }
