package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"sapphirepoint.example/sapphirepoint/core/dispatch"
	"sapphirepoint.example/sapphirepoint/core/membership"
	"sapphirepoint.example/sapphirepoint/core/settings"
	"sapphirepoint.example/sapphirepoint/core/task"
	"sapphirepoint.example/sapphirepoint/gen/platformv1"
	"sapphirepoint.example/sapphirepoint/gen/platformv1/platformv1connect"
	pb "sapphirepoint.example/sapphirepoint/gen/sapphirepointv1"
)

const (
	// settingsKey is the key of the settings row in the table service.
	settingsKey = "settings"
	// claimPrefix is the prefix of the keys of claim rows, which is followed by the id of
	// a submission. A claim row names the holder: the one process run that may start the
	// submission's tasks.
	claimPrefix = "claim/"
	// platformTimeout is the timeout of each call to the platform.
	platformTimeout = 2 * time.Second
	// applyRetryInterval is the interval between steps of a change of the settings.
	applyRetryInterval = 100 * time.Millisecond
)

// platformClient calls the platform's services.
type platformClient struct {
	node              *Node
	table             platformv1connect.TableServiceClient
	membershipService platformv1connect.MembershipServiceClient
	// settingsRowVersion is the version of the settings row that poll read last.
	settingsRowVersion uint64
}

func newPlatformClient(n *Node) *platformClient {
	var p http.Protocols
	p.SetUnencryptedHTTP2(true)
	client := &http.Client{Transport: n.metrics.countCalls(&http.Transport{
		Protocols: &p,
		HTTP2:     &http.HTTP2Config{SendPingTimeout: time.Second, PingTimeout: time.Second},
	})}
	return &platformClient{
		node:              n,
		table:             platformv1connect.NewTableServiceClient(client, n.cfg.PlatformURL),
		membershipService: platformv1connect.NewMembershipServiceClient(client, n.cfg.PlatformURL),
	}
}

// poll reads members and settings at each interval, and less often during an outage
// of the platform.
func (p *platformClient) poll(ctx context.Context) error {
	var membersVersion uint64
	var state outage
	for {
		var membersErr, settingsErr error
		// Read in parallel: if the platform accepts calls and doesn't answer, the
		// settings would otherwise be delayed by two consecutive timeouts.
		var reads sync.WaitGroup
		reads.Go(func() { membersVersion, membersErr = p.readMembers(ctx, membersVersion) })
		reads.Go(func() { settingsErr = p.readSettings(ctx) })
		reads.Wait()
		p.logOutage(state.record(membersErr, settingsErr), membersErr, settingsErr)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(state.pollDelay(p.node.cfg.PollInterval)):
		}
	}
}

// logOutage logs the begin and the end of an outage.
func (p *platformClient) logOutage(change outageChange, membersErr, settingsErr error) {
	switch change {
	case outageBegan:
		p.node.log.Warn().AnErr("members", membersErr).AnErr("settings", settingsErr).Msg("platform-unavailable")
	case outageEnded:
		p.node.log.Info().Msg("platform-available")
	}
}

// readMembers reads the list of members and posts it if its version is higher than the
// known one. It returns the highest version read so far.
func (p *platformClient) readMembers(ctx context.Context, known uint64) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	res, err := p.membershipService.List(ctx, connect.NewRequest(&platformv1.ListRequest{KnownVersion: known}))
	if err != nil {
		return known, err
	}
	if res.Msg.GetVersion() == known {
		p.node.post(dispatch.MembersRead{})
		return known, nil
	}
	if res.Msg.GetVersion() < known {
		return known, nil
	}
	p.node.post(dispatch.MembersChanged{Members: membership.FromProto(res.Msg)})
	return res.Msg.GetVersion(), nil
}

// readCurrentSettings reads the settings and the version of their row. Both are zero if
// no settings were ever applied.
func (p *platformClient) readCurrentSettings(ctx context.Context) (*pb.Settings, uint64, error) {
	rows, err := p.readSettingsRow(ctx, 0)
	if err != nil {
		return nil, 0, err
	}
	return decodeSettingsRow(rows)
}

// readSettingsRow reads the settings row, without its value if its version is known.
func (p *platformClient) readSettingsRow(ctx context.Context, known uint64) ([]*platformv1.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	res, err := p.table.Read(ctx, connect.NewRequest(&platformv1.ReadRequest{
		Keys:          []string{settingsKey},
		KnownVersions: []uint64{known},
	}))
	if err != nil {
		return nil, err
	}
	return res.Msg.GetRows(), nil
}

// decodeSettingsRow decodes the settings row, if there is one, and returns its version.
func decodeSettingsRow(rows []*platformv1.Row) (*pb.Settings, uint64, error) {
	s := &pb.Settings{}
	if len(rows) == 0 {
		return s, 0, nil
	}
	row := rows[0]
	if err := proto.Unmarshal(row.GetValue(), s); err != nil {
		return nil, 0, errors.Wrap(err, "decode settings row")
	}
	return s, row.GetVersion(), nil
}

// readSettings reads the settings row and posts the settings if the row has changed.
func (p *platformClient) readSettings(ctx context.Context) error {
	rows, err := p.readSettingsRow(ctx, p.settingsRowVersion)
	if err != nil {
		return err
	}
	if len(rows) > 0 && rows[0].GetVersion() == p.settingsRowVersion {
		return nil
	}
	s, version, err := decodeSettingsRow(rows)
	if err != nil {
		return err
	}
	p.settingsRowVersion = version
	p.node.post(dispatch.SettingsRead{Settings: s})
	return nil
}

// applySettings writes new settings for an operator if the expected version is current. It
// reads and writes the settings row until settings.Apply ends the change.
func (p *platformClient) applySettings(ctx context.Context, expected uint64, s *pb.Settings) (*pb.Settings, error) {
	change := settings.NewApply(expected, s, rand.Uint64()|1)
	for first := true; change.Step() != settings.ApplyEnded; first = false {
		if !first {
			pause(ctx, applyRetryInterval)
		}
		p.applyStep(ctx, change)
	}
	switch change.Outcome() {
	case settings.Applied:
		return change.Next(), nil
	case settings.Conflicted:
		return nil, connect.NewError(connect.CodeAborted, errors.Errorf("expected version %d, but %d is current", expected, change.Current()))
	case settings.NotWritten:
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("the settings row can't be read; nothing was applied"))
	}
	return nil, connect.NewError(connect.CodeUnavailable, errors.New("the write isn't settled; ask for the version in force before applying again"))
}

// applyStep reads the settings row and writes it if the change then requires that.
func (p *platformClient) applyStep(ctx context.Context, change *settings.Apply) {
	present, row, err := p.readCurrentSettings(ctx)
	change.Read(present, row, err == nil)
	if change.Step() != settings.ApplyWrite {
		return
	}
	value, err := proto.MarshalOptions{Deterministic: true}.Marshal(change.Next())
	if err != nil {
		panic(errors.Wrap(err, "encode settings that were decoded before"))
	}
	committed, err := p.commit(ctx, &platformv1.Write{Key: settingsKey, Value: value, ExpectedVersion: change.RowVersion()})
	change.Written(committed, err == nil)
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// commit writes one row and reports whether the table service committed it.
func (p *platformClient) commit(ctx context.Context, w *platformv1.Write) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	res, err := p.table.Commit(ctx, connect.NewRequest(&platformv1.CommitRequest{Writes: []*platformv1.Write{w}}))
	if err != nil {
		return false, err
	}
	return res.Msg.GetCommitted(), nil
}

// writeClaims inserts claim rows in one transaction, in the background.
func (p *platformClient) writeClaims(ctx context.Context, cmd dispatch.ClaimWrite) {
	go func() {
		p.node.post(p.insertClaims(ctx, cmd))
	}()
}

// insertClaims returns the result of one commit. The result isn't OK if there was no usable
// answer: the rows may have been written.
func (p *platformClient) insertClaims(ctx context.Context, cmd dispatch.ClaimWrite) dispatch.ClaimResult {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	result := dispatch.ClaimResult{Batch: cmd.Batch}
	ids := make(map[string]task.ID, len(cmd.Claims))
	req := &platformv1.CommitRequest{}
	for _, c := range cmd.Claims {
		value, err := proto.Marshal(&pb.ClaimRow{Holder: p.node.self.Proto(), Digest: c.Digest[:], Claim: c.Number})
		if err != nil {
			return result
		}
		key := claimPrefix + c.ID.String()
		ids[key] = c.ID
		req.Writes = append(req.Writes, &platformv1.Write{Key: key, Value: value, TtlS: c.TTLSeconds})
	}
	res, err := p.table.Commit(ctx, connect.NewRequest(req))
	if err != nil {
		p.node.log.Warn().Err(err).Int("claims", len(cmd.Claims)).Msg("claim-write-failed")
		return result
	}
	for _, row := range res.Msg.GetConflicts() {
		cf, err := decodeConflict(ids, row)
		if err != nil {
			p.node.log.Error().Err(err).Str("key", row.GetKey()).Msg("claim-row-unreadable")
			return result
		}
		result.Conflicts = append(result.Conflicts, cf)
	}
	result.OK = res.Msg.GetCommitted() || len(result.Conflicts) > 0
	return result
}

// decodeConflict decodes an existing claim row, which kept a claim of this batch, by its
// id in ids, from being inserted.
func decodeConflict(ids map[string]task.ID, row *platformv1.Row) (dispatch.ClaimConflict, error) {
	id, ok := ids[row.GetKey()]
	if !ok || !strings.HasPrefix(row.GetKey(), claimPrefix) {
		return dispatch.ClaimConflict{}, errors.New("the row's key doesn't belong to a claim of this batch")
	}
	claimed := &pb.ClaimRow{}
	if err := proto.Unmarshal(row.GetValue(), claimed); err != nil {
		return dispatch.ClaimConflict{}, errors.Wrap(err, "decode claim row")
	}
	cf := dispatch.ClaimConflict{ID: id, Holder: task.IncarnationOf(claimed.GetHolder()), Number: claimed.GetClaim()}
	if cf.Holder.Node == "" || len(claimed.GetDigest()) != len(cf.Digest) {
		return dispatch.ClaimConflict{}, errors.New("the claim row has no holder or no valid digest")
	}
	copy(cf.Digest[:], claimed.GetDigest())
	return cf, nil
}
