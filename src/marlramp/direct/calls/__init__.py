"""A request on its way: admission, choice, sends, answers."""
