// Package quarantiner finds the parts of prompts that crash engines, and decides which
// requests are refused because of them.
//
// An engine may crash for many reasons. A crash is evidence against the parts of a prompt
// if the engine ended between the arrival of the request and the beginning of its answer.
// An answer that begins clears all parts of its prompt. A part is quarantined once several
// engines ended under the prompts of different callers and no answer has begun since. The
// last part of a prompt belongs to a single request or session; it is never quarantined,
// but shows that two requests are different ones.
//
// Instances share their evidence through the voters, so that each engine is lost for all
// of them at once. Evidence is merged without an order: messages may be lost, repeated or
// overtaken.
package quarantiner
