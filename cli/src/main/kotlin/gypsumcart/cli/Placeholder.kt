package gypsumcart.cli
