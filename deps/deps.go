//go:build deps

// Package deps keeps modules in go.mod whose first user is not merged yet.
package deps

import (
	_ "connectrpc.com/connect"
	_ "connectrpc.com/otelconnect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-faster/errors"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/labstack/echo/v4"
	_ "github.com/prometheus/client_golang/prometheus"
	_ "github.com/rs/zerolog"
	_ "github.com/sebdah/goldie/v2"
	_ "github.com/uber-go/tally/v4"
	_ "github.com/uber-go/tally/v4/prometheus"
	_ "go.opentelemetry.io/otel"
	_ "go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	_ "go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	_ "go.opentelemetry.io/otel/sdk/trace"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
