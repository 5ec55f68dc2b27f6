//! Operator API: schema, generated code and service.
