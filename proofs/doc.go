// Package proofs contains the tests that run the real processes and inject faults. They run only with
// HIBISCUSSPUR_PROOFS=1 (make proofs); docs/PROOFS.md lists them.
package proofs
