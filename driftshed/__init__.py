"""driftshed tells forwarders where work goes."""
