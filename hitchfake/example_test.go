package hitchfake_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"

	"citronhitch.example/citronhitch/hitchfake"
)

// The engine closes the connection of the first stream after three tokens. The
// client resumes the stream after the last token that it received.
func ExampleEngine() {
	var engine hitchfake.Engine
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	engine.Faults.Set(hitchfake.Fault{Kind: hitchfake.FaultDisconnect, AfterTokens: 3, Times: 1})

	question := hitchfake.ChatRequest{
		Model:    "guide-llm",
		Messages: []hitchfake.Message{{Role: "user", Content: "When do the otters eat?"}},
		Stream:   true,
	}
	body, _ := json.Marshal(question)
	request, _ := http.NewRequest(http.MethodPost, server.URL+"/v1/chat/completions", bytes.NewReader(body))
	request.Header.Set(hitchfake.AttemptHeader, "attempt-1")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		fmt.Println(err)
		return
	}
	response.Body.Close()

	resume, _ := http.NewRequest(http.MethodGet, server.URL+"/v1/streams/attempt-1", nil)
	resume.Header.Set("Last-Event-ID", "3")
	response, err = http.DefaultClient.Do(resume)
	if err != nil {
		fmt.Println(err)
		return
	}
	defer response.Body.Close()
	fmt.Println(response.StatusCode, response.Header.Get(hitchfake.AttemptHeader))
	// Output: 200 attempt-1
}
