"""The other side of the platform's wire: what callers, workers, the store and the operator say.

Names and formats only, for stand-ins that serve real nodes; what they decide is the kit's.
"""
