"""Changes of policy that take hold at every supervisor or at none. Nothing of it is imported unless asked for."""
