"""Links between routers and who is reached by them."""
