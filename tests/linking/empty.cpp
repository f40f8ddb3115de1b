// Holds nothing of its own: the shared object is made of the libraries that are linked to it.
