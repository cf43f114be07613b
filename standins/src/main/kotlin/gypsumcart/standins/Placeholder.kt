package gypsumcart.standins
