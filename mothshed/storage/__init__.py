"""Files that survive a crash: the data folder, and the log of a part."""
