//go:build pins

// Package bench pins the libraries that parts under construction use.
package bench

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/Shopify/toxiproxy/v2"
	_ "github.com/go-playground/validator/v10"
	_ "github.com/hashicorp/golang-lru/v2"
	_ "github.com/sebdah/goldie/v2"
	_ "github.com/sony/gobreaker/v2"
	_ "go.uber.org/goleak"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg"
	_ "pgregory.net/rapid"
)
