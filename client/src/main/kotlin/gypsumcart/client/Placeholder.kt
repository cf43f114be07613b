package gypsumcart.client
