"""The laboratory: emulated servers with composable faults, an open-loop load generator, and whole deployments run as
real processes or in virtual time, with experiments, reports and an adversarial search on top. It may import every
package but the command line, and nothing of the product imports it. The two clocks differ only in the loop and the
transport."""
