package httpapi

import (
	"net/http"

	"github.com/rhubarbsail/rhubarbsail/common/model"
)

// statusCodes maps the reason of a failed answer to its HTTP status code.
var statusCodes = map[model.Reason]int{
	model.ReasonInvalid:         http.StatusBadRequest,
	model.ReasonClock:           http.StatusBadRequest,
	model.ReasonUnknownClient:   http.StatusForbidden,
	model.ReasonUnknownService:  http.StatusUnprocessableEntity,
	model.ReasonNoSuitable:      http.StatusUnprocessableEntity,
	model.ReasonConflict:        http.StatusConflict,
	model.ReasonNotRepeatable:   http.StatusConflict,
	model.ReasonCancelled:       http.StatusConflict,
	model.ReasonTooOld:          http.StatusGone,
	model.ReasonAnswerForgotten: http.StatusGone,
	model.ReasonOverload:        http.StatusTooManyRequests,
	model.ReasonQuota:           http.StatusTooManyRequests,
	model.ReasonTaskFailed:      http.StatusBadGateway,
	model.ReasonOutcomeLost:     http.StatusBadGateway,
	model.ReasonAnswerTooLarge:  http.StatusBadGateway,
	model.ReasonOwnerChanged:    http.StatusServiceUnavailable,
	model.ReasonNoOwner:         http.StatusServiceUnavailable,
	model.ReasonShuttingDown:    http.StatusServiceUnavailable,
	model.ReasonTableFull:       http.StatusServiceUnavailable,
	model.ReasonDeadline:        http.StatusGatewayTimeout,
}

// StatusCode returns the HTTP status code of an answer.
func StatusCode(a model.Answer) int {
	if a.State == model.RunComplete {
		return http.StatusOK
	}
	if code, ok := statusCodes[a.Reason]; ok {
		return code
	}
	return http.StatusInternalServerError
}

// retryable reports whether a response with this code has a Retry-After header
// even if the answer gives no time. The causes of these codes are temporary.
func retryable(code int) bool {
	return code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable
}
