"""The entry: the process that receives callers' requests on the grants path."""
