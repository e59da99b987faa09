"""Stitched notices: inserts placed before and within playbacks, in the manifests that the edge serves."""
