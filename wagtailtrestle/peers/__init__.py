"""Links between routers, and the delivery of messages to schedulers and entries."""
