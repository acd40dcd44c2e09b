//! Which targets a new flow is offered to, and which of them takes it.
