"""HTTP/1.1 on bare connections, for work that must see every byte's fate (parsing by ``h11``)."""
