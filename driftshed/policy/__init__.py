"""Agreed changes of a fleet's policy, applied at every supervisor or at none. Imported only where policies are on."""
