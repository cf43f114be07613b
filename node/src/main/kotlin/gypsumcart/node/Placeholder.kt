package gypsumcart.node
