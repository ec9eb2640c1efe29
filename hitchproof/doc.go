// Package hitchproof contains only tests. They compare docs/PROOF.md and
// docs/CAPACITY.md with the code: each test, benchmark and measurement that the
// pages name must exist, and each row of PROOF.md that isn't proved must be in that
// page's list of unproved rows.
package hitchproof
