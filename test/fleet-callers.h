// Simulated callers for the fault matrix. They cache addresses and tokens,
// resend with the same token and id, and move to the next host, as
// docs/callers.md specifies. They also go beyond it: after repeated unknown
// outcomes they present a token to a host other than the one it names.

#ifndef KUMQUATPITCH_FLEET_CALLERS_H
#define KUMQUATPITCH_FLEET_CALLERS_H

#include "core-fleet.h"

#include <array>
#include <memory>
#include <optional>

namespace kumquatpitch::test {

/// Issues requests to a simulated fleet and retries them.
class FleetCallers {
public:
  explicit FleetCallers(CoreFleet &Fleet) : Fleet_(Fleet) {}

  /// Starts one request every RequestPeriod until stop(). Half of the requests
  /// may not be repeated; these carry a token.
  void start() {
    IsRunning_ = true;
    issuePeriodically();
  }
  void stop() { IsRunning_ = false; }

  /// Sends all requests to one host, provided that the address response lists
  /// it.
  void concentrateOn(std::size_t Host) { OnlyHost_ = Host; }

  /// Issues `Count` requests to one host at once.
  void burst(std::size_t Host, int Count) {
    const std::optional<std::size_t> PreviousHost = OnlyHost_;
    OnlyHost_ = Host;
    for (int I = 0; I < Count; ++I)
      issue();
    OnlyHost_ = PreviousHost;
  }

private:
  static constexpr Duration RequestPeriod = std::chrono::milliseconds(25);
  static constexpr Duration ResendPause = std::chrono::milliseconds(400);
  static constexpr unsigned MaxSends = 4;

  /// An address response and when it was received.
  struct CachedAddresses {
    AddressAnswer Answer_;
    TimePoint ReceivedAt_;
  };

  /// One request and the state of its sends.
  struct CallerRequest {
    std::uint64_t Request_ = 0;
    std::uint32_t Resend_ = 0;
    CachedAddresses Cached_;
    std::size_t Option_ = 0; ///< Index into the address response's hosts.
    std::string Token_;      ///< Empty for repeatable requests.
    unsigned Sends_ = 0;
    /// Sends with a token that ended with an unknown outcome.
    unsigned UnknownOutcomes_ = 0;
  };
  using CallerRequestPtr = std::shared_ptr<CallerRequest>;

  void issuePeriodically() {
    if (!IsRunning_)
      return;
    issue();
    Fleet_.events().after(RequestPeriod, [this] { issuePeriodically(); });
  }

  std::optional<CachedAddresses> cachedAddresses() {
    std::optional<CachedAddresses> &Cached =
        Cached_[NextRequest_ % Cached_.size()];
    if (Cached && Fleet_.now() - Cached->ReceivedAt_ <= AddressAnswerTtl)
      return Cached;
    const std::size_t First = Fleet_.random().below(CoreFleet::MaxHosts);
    for (std::size_t I = 0; I < CoreFleet::MaxHosts; ++I)
      if (const std::optional<AddressAnswer> Answer =
              Fleet_.addresses((First + I) % CoreFleet::MaxHosts)) {
        Cached = CachedAddresses{*Answer, Fleet_.now()};
        return Cached;
      }
    return std::nullopt;
  }

  void issue() {
    const std::uint64_t Id = ++NextRequest_;
    const std::optional<CachedAddresses> Cached = cachedAddresses();
    if (!Cached || Cached->Answer_.Hosts_.empty())
      return;
    const CallerRequestPtr Request = std::make_shared<CallerRequest>();
    Request->Request_ = Id;
    Request->Cached_ = *Cached;
    const std::vector<AddressOption> &Options = Cached->Answer_.Hosts_;
    const bool HasToken = Id / Cached_.size() % 2 == 0;
    for (std::size_t I = 0; I < Options.size(); ++I)
      if (OnlyHost_ && hostOf(Options[I]) == *OnlyHost_)
        Request->Option_ = I;
    if (HasToken) {
      while (Options[Request->Option_].Token_.empty())
        if (++Request->Option_ >= Options.size())
          return;
      Request->Token_ = Options[Request->Option_].Token_;
    }
    send(Request);
  }

  static std::size_t hostOf(const AddressOption &Option) {
    return Option.Host_.str().at(1) - '0';
  }

  void send(const CallerRequestPtr &Request) {
    const SendPtr Send = std::make_shared<FleetSend>();
    Send->Key_ = {Request->Request_, Request->Resend_};
    Send->Token_ = Request->Token_;
    Send->Host_ = hostOf(Request->Cached_.Answer_.Hosts_[Request->Option_]);
    if (Fleet_.isStoppedByPlan(Send->Host_) &&
        Fleet_.now() - Request->Cached_.ReceivedAt_ <= AddressAnswerTtl)
      Fleet_.ledger().violate(Fleet_.now(), 6,
                              "h" + std::to_string(Send->Host_) +
                                  " stopped while its address may be kept");
    Send->OnEnd_ = [this, Request](const SendResult &End) {
      handleSendEnd(Request, End);
    };
    ++Request->Sends_;
    Fleet_.send(Send);
  }

  void handleSendEnd(const CallerRequestPtr &Request, const SendResult &End) {
    if ((End.HasReply_ && !End.Refusal_) || Request->Sends_ >= MaxSends)
      return;
    const Outcome ReportedOutcome =
        End.Refusal_ ? End.Refusal_->Outcome_ : Outcome::Unknown;
    if (ReportedOutcome == Outcome::Ran)
      return;
    const std::size_t Options = Request->Cached_.Answer_.Hosts_.size();
    if (Request->Token_.empty())
      Request->Option_ = (Request->Option_ + 1) % Options;
    else if (ReportedOutcome == Outcome::NotRun)
      ++Request->Resend_;
    else if (++Request->UnknownOutcomes_ == 2)
      Request->Option_ = (Request->Option_ + 1) % Options;
    Fleet_.events().after(ResendPause * Request->Sends_,
                          [this, Request] { send(Request); });
  }

  CoreFleet &Fleet_;
  bool IsRunning_ = false;
  std::optional<std::size_t> OnlyHost_;
  std::uint64_t NextRequest_ = 0;
  std::array<std::optional<CachedAddresses>, 8> Cached_;
};

} // namespace kumquatpitch::test

#endif
