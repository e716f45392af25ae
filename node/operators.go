package node

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net/http"

	"connectrpc.com/connect"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
	"sapphirepoint.example/sapphirepoint/core/settings"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
	"sapphirepoint.example/sapphirepoint/gen/sapphirepointv1/sapphirepointv1connect"
)

// operatorService serves OperatorService.
type operatorService struct{ node *Node }

func (n *Node) operatorHandler() http.Handler {
	e := echo.New()
	n.healthRoutes(e)
	e.GET("/metrics", echo.WrapHandler(promhttp.HandlerFor(n.metrics.registry, promhttp.HandlerOpts{})))
	protected := e.Group("", n.requireOperator)
	protected.GET("/dump", func(c echo.Context) error {
		return c.JSONPretty(http.StatusOK, n.dump(), "  ")
	})
	path, h := sapphirepointv1connect.NewOperatorServiceHandler(operatorService{n}, connect.WithReadMaxBytes(n.cfg.MaxRequestBytes))
	protected.Any(path+"*", echo.WrapHandler(h))
	return e
}

// requireOperator rejects requests without the operators' token.
func (n *Node) requireOperator(next echo.HandlerFunc) echo.HandlerFunc {
	want := []byte(bearerPrefix + n.cfg.OperatorToken)
	return func(c echo.Context) error {
		got := []byte(c.Request().Header.Get("Authorization"))
		if n.cfg.OperatorToken == "" || subtle.ConstantTimeCompare(got, want) != 1 {
			return echo.NewHTTPError(http.StatusUnauthorized, "the operators' token is needed")
		}
		return next(c)
	}
}

func (n *Node) dump() dispatch.Dump {
	var d dispatch.Dump
	n.call(func(c *dispatch.Core) { d = c.Dump() })
	return d
}

// GetSettings returns the settings in force and the version at each node.
func (o operatorService) GetSettings(context.Context, *connect.Request[pb.GetSettingsRequest]) (*connect.Response[pb.GetSettingsResponse], error) {
	res := &pb.GetSettingsResponse{}
	o.node.call(func(c *dispatch.Core) {
		res.Settings = c.Settings()
		res.Nodes = c.NodeVersions()
	})
	return connect.NewResponse(res), nil
}

// ApplySettings writes new settings by compare-and-set.
func (o operatorService) ApplySettings(ctx context.Context, req *connect.Request[pb.ApplySettingsRequest]) (*connect.Response[pb.ApplySettingsResponse], error) {
	if err := settings.Validate(req.Msg.GetSettings()); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	applied, err := o.node.platform.applySettings(ctx, req.Msg.GetExpectedVersion(), req.Msg.GetSettings())
	if err != nil {
		return nil, err
	}
	o.node.post(dispatch.SettingsRead{Settings: applied})
	o.node.log.Info().Uint64("version", applied.GetVersion()).Msg("settings-applied")
	return connect.NewResponse(&pb.ApplySettingsResponse{Version: applied.GetVersion()}), nil
}

// Dump returns the state of the process as JSON.
func (o operatorService) Dump(context.Context, *connect.Request[pb.DumpRequest]) (*connect.Response[pb.DumpResponse], error) {
	raw, err := json.Marshal(o.node.dump())
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, errors.Wrap(err, "encode dump"))
	}
	return connect.NewResponse(&pb.DumpResponse{Json: raw}), nil
}

// Drain begins a planned stop.
func (o operatorService) Drain(context.Context, *connect.Request[pb.DrainRequest]) (*connect.Response[pb.DrainResponse], error) {
	o.node.log.Info().Msg("drain-requested")
	o.node.Drain()
	return connect.NewResponse(&pb.DrainResponse{}), nil
}
