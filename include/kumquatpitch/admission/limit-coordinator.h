// Hands out the tokens of the workspaces' limits to the hosts that have
// requests. One host of the fleet, the coordinator, has a token bucket for each
// workspace, whose rate and size follow the parts that the hosts delegated to
// it. Used by LimitPeer. Does no I/O and reads no clock.

#ifndef KUMQUATPITCH_ADMISSION_LIMIT_COORDINATOR_H
#define KUMQUATPITCH_ADMISSION_LIMIT_COORDINATOR_H

#include "kumquatpitch/admission/limit-parts.h"

namespace kumquatpitch {

/// Hash of a workspace's name, by which messages name it.
using LimitKey = std::uint64_t;

LimitKey limitKeyOf(const WorkspaceName &Name);

/// A token may be used for this long after its request was first sent. Tokens
/// that hosts keep in stock bridge the loss of a coordinator.
constexpr Duration LimitTokenLifetime = std::chrono::milliseconds(750);

/// Maximum number of workspaces in one request, so that it fits into one
/// datagram.
constexpr std::size_t MaxTokenWishes = 70;

/// Limit of a workspace, for all hosts together.
struct WorkspaceLimit {
  double RatePerSecond_ = 0;
  double Burst_ = 0;

  bool operator==(const WorkspaceLimit &) const = default;
};

/// What all hosts together may run beyond a workspace's limit in any span of
/// `Window_`: a share of the limit and a number of requests. It is used only
/// while some parts cannot be reached.
struct LimitTolerance {
  Duration Window_{};
  double Overage_ = 0;
  double Slack_ = 0;

  bool operator==(const LimitTolerance &) const = default;
};

/// The tokens that a host asks for one workspace.
struct TokenWish {
  LimitKey Key_ = 0;
  std::uint32_t Needed_ = 0; ///< For requests that wait.
  std::uint32_t Wanted_ = 0; ///< For requests that are expected soon.

  bool operator==(const TokenWish &) const = default;
};

struct TokenRequest {
  HostId From_;
  Incarnation Incarnation_ = 0;
  std::uint64_t Id_ = 0; ///< Increases within an incarnation.
  std::vector<TokenWish> Wishes_;

  bool operator==(const TokenRequest &) const = default;
};

struct TokenGrant {
  LimitKey Key_ = 0;
  std::uint32_t Tokens_ = 0;
  /// Time until there is another token; 0 if all needed ones were granted.
  Duration NextIn_{};

  bool operator==(const TokenGrant &) const = default;
};

struct TokenAnswer {
  HostId From_;
  Incarnation Requester_ = 0;
  std::uint64_t Id_ = 0;
  /// False while no part is delegated to the sender. Its answer then says
  /// nothing about the limits.
  bool HasShare_ = false;
  std::vector<TokenGrant> Grants_;

  bool operator==(const TokenAnswer &) const = default;
};

/// While the parts at all coordinators together are at most 1, the tokens that
/// all of them grant in any span W are at most `rate * W + burst`, and one more
/// for each coordinator. With a part missing, `tolerantRate` replaces the rate.
class LimitCoordinator {
public:
  LimitCoordinator(HostId Self, Incarnation OwnIncarnation,
                   LimitTolerance Tolerance)
      : Self_(Self), Tolerance_(Tolerance),
        Ledger_(std::move(Self), OwnIncarnation) {}

  /// Replaces the limits. Buckets of workspaces that are new here are empty.
  void setLimits(const std::map<LimitKey, WorkspaceLimit> &Limits,
                 TimePoint Now);

  void setHolders(const std::set<HostId> &Holders, TimePoint Now);

  LimitPartQuestion onOffer(const LimitPartOffer &Offer, bool Accepting,
                            TimePoint Now);

  /// Returns the answer, or nothing for a request that is older than the last
  /// one. A request that is repeated gets the same answer again.
  std::optional<TokenAnswer> onRequest(const TokenRequest &Request,
                                       TimePoint Now);

  /// The part of all limits that is delegated to this host, from 0 to 1.
  double share(TimePoint Now) const { return Ledger_.share(Now); }

private:
  struct Bucket {
    WorkspaceLimit Limit_;
    double Level_ = 0; ///< Tokens; at most bucketSize().
  };

  struct LastAnswer {
    TokenAnswer Answer_;
    TimePoint At_;
  };

  static double bucketSize(const WorkspaceLimit &Limit, double Share);
  double rate(const WorkspaceLimit &Limit, double Share) const;
  void advance(TimePoint Now);
  TokenGrant grant(const TokenWish &Wish, double Share);

  HostId Self_;
  LimitTolerance Tolerance_;
  LimitPartLedger Ledger_;
  std::map<LimitKey, Bucket> Buckets_;
  TimePoint AdvancedAt_;
  std::map<HostId, LastAnswer> LastAnswers_; ///< Of the last seconds.
};

/// The rate of a limit with the part of `Tolerance` that the lifetime of tokens
/// leaves, in requests per second.
double tolerantRate(const WorkspaceLimit &Limit,
                    const LimitTolerance &Tolerance);

} // namespace kumquatpitch

#endif
