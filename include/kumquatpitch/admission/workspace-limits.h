// Decides on one host whether a request lies within its workspace's limit. The
// host takes a token for each request from a small stock, which it fills from
// the coordinator according to its demand. Owned by GatewayCore; LimitPeer
// carries the requests for tokens. Does no I/O and reads no clock.

#ifndef KUMQUATPITCH_ADMISSION_WORKSPACE_LIMITS_H
#define KUMQUATPITCH_ADMISSION_WORKSPACE_LIMITS_H

#include "kumquatpitch/admission/limit-coordinator.h"
#include "kumquatpitch/admission/workspace-index.h"
#include "kumquatpitch/gateway-refusal.h"

#include <deque>
#include <utility>
#include <variant>

namespace kumquatpitch {

/// A request waits at most this long for a token. It bridges most of the time
/// from the loss of a coordinator until the next one has the parts.
constexpr Duration MaxTokenWait = std::chrono::milliseconds(500);

/// The right to run one request.
struct LimitToken {
  TimePoint ExpiresAt_;

  bool operator==(const LimitToken &) const = default;
};

/// The request waits for a token. The ticket names it until it gets one, is
/// refused or is cancelled.
struct TokenTicket {
  std::uint64_t Id_ = 0;

  bool operator==(const TokenTicket &) const = default;
};

using LimitDecision = std::variant<LimitToken, TokenTicket, GatewayRefusal>;

/// A request whose wait for a token has ended.
struct EndedTokenWait {
  TokenTicket Ticket_;
  std::variant<LimitToken, GatewayRefusal> End_;

  bool operator==(const EndedTokenWait &) const = default;
};

/// A workspace began or ceased to be refused for its limit on this host.
struct LimitChange {
  WorkspaceName Workspace_;
  bool IsLimited_ = false;
  std::uint64_t Refused_ = 0; ///< Since it began.

  bool operator==(const LimitChange &) const = default;
};

/// What happened on this host since the last report.
struct LimitCounts {
  std::uint64_t Granted_ = 0;   ///< Tokens that were credited.
  std::uint64_t Expired_ = 0;   ///< Tokens that were not used in time.
  std::uint64_t Beyond_ = 0;    ///< Requests refused as beyond their limit.
  std::uint64_t Undecided_ = 0; ///< Refused after MaxTokenWait.

  bool operator==(const LimitCounts &) const = default;
};

/// Is told that a request waits for a token, so that one is asked for at once.
class TokenNeedSink {
public:
  virtual ~TokenNeedSink() = default;
  virtual void tokenNeeded() = 0;
};

class WorkspaceLimits {
public:
  /// Sets who is told of waiting requests. Null for nobody.
  void setSink(TokenNeedSink *Sink) { Sink_ = Sink; }

  /// True once LimitPeer fills the stock; before that, no limit is kept.
  void enable(HostId Self, Incarnation OwnIncarnation);

  /// Decides on a new request of the workspace `Settings`.
  LimitDecision arrive(const WorkspaceSettings &Settings, TimePoint Now);

  /// Ends the wait of a request whose caller has left.
  void cancel(TokenTicket Ticket);

  /// Takes back the token of a request that no target has run.
  void giveBack(const WorkspaceName &Workspace, LimitToken Token,
                TimePoint Now);

  /// Requests that got a token, are beyond their limit, or have waited for
  /// MaxTokenWait.
  std::vector<EndedTokenWait> takeEnded(TimePoint Now);

  /// The request to send to the coordinator now, if any. One is in progress at
  /// a time; it is repeated until it is answered or given up.
  std::optional<TokenRequest> nextRequest(TimePoint Now);

  /// Returns whether the answer was credited. Late and doubled ones are not.
  bool onAnswer(const TokenAnswer &Answer, TimePoint Now);

  /// True while a request waits that the last request for tokens did not count.
  bool hasNewNeed() const { return HasNewNeed_; }

  /// True once after a request was given up: the coordinator did not answer.
  bool takeSilence();

  /// Beginnings and ends of limits since the last call.
  std::vector<LimitChange> takeChanges(TimePoint Now);

  LimitCounts takeCounts() { return std::exchange(Counts_, {}); }

private:
  struct Stock {
    std::uint32_t Tokens_ = 0;
    TimePoint ExpiresAt_;
  };

  struct Waiting {
    TokenTicket Ticket_;
    TimePoint Since_;
  };

  struct State {
    WorkspaceName Name_;
    std::deque<Stock> Stock_; ///< By expiry; no entry is empty.
    std::deque<Waiting> Waiting_;
    double Demand_ = 0; ///< Requests per second, decayed.
    TimePoint DemandAt_;
    TimePoint NoTokenUntil_; ///< The limit is used up until then.
    std::uint64_t Refused_ = 0;
    std::optional<TimePoint> RefusedAt_; ///< Set while limited.
    bool IsReported_ = false;
  };

  struct Outstanding {
    TokenRequest Request_;
    TimePoint FirstSentAt_;
    TimePoint LastSentAt_;
  };

  void dropExpired(State &Limited, TimePoint Now);
  std::optional<LimitToken> take(State &Limited, TimePoint Now);
  static double demand(const State &Limited, TimePoint Now);
  static TokenWish wish(const State &Limited, bool IsStockDue, TimePoint Now);
  GatewayRefusal refuse(State &Limited, TimePoint Now);
  void serveWaiting(State &Limited, TimePoint Now);
  void credit(State &Limited, const TokenGrant &Grant, TimePoint Now);

  bool IsEnabled_ = false;
  HostId Self_;
  Incarnation Incarnation_ = 0;
  TokenNeedSink *Sink_ = nullptr;
  /// Workspaces with recent requests.
  std::map<LimitKey, State> States_;
  std::vector<EndedTokenWait> Ended_;
  std::optional<Outstanding> Outstanding_;
  std::uint64_t LastTicket_ = 0;
  std::uint64_t LastRequest_ = 0;
  LimitKey Cursor_ = 0; ///< Where the next request's wishes begin.
  TimePoint StockDueAt_;
  LimitCounts Counts_;
  bool HasNewNeed_ = false;
  bool IsSilent_ = false;
};

} // namespace kumquatpitch

#endif
