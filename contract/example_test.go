package contract_test

import (
	"fmt"

	"github.com/hibiscusspur/hibiscusspur/contract"
)

// Every error in a file is reported with its line and field.
func ExampleParse() {
	_, err := contract.Parse("shop.yaml", []byte(`customer: shop
brand: Shop & Sons
share: 1.5
keys:
  - name: main
    sha256: ab00000000000000000000000000000000000000000000000000000000000000
limits: {requests_per_second: 5, concurrent: 8, max_prompt_tokens: 20000, max_output_tokens: 800}
classes:
  - name: lookup
    models: [portal]
    urgency: interactive
    ttft: 800ms
    tbt: 40ms
    deadline: 100ms
`))
	fmt.Println(err)
	// Output:
	// shop.yaml:3: share: must be above 0 and at most 1, is 1.5
	// shop.yaml:14: classes[0].deadline: must be between 800ms and 24h0m0s, is 100ms
}
