// Simulated callers for the fault matrix. As docs/callers.md specifies, they
// cache addresses and tokens, resend with the same token and id, and move to
// the next host. Beyond that specification, they also send a token to a host
// other than the one it names after repeated unknown outcomes.

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

  /// Issues one request every RequestPeriod until stop(). Half of the requests
  /// are not repeatable and carry a token.
  void start() {
    IsRunning_ = true;
    issuePeriodically();
  }
  void stop() { IsRunning_ = false; }

  /// Sends every new request to one host if the address response lists it.
  void concentrateOn(std::size_t Host) { OnlyHost_ = Host; }

  /// Issues `Count` requests to one host at the same time.
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
    std::size_t OptionIndex_ = 0; ///< Index into the address response's hosts.
    std::string Token_;           ///< Empty for repeatable requests.
    unsigned Sends_ = 0;
    /// Number of sends with a token that ended with an unknown outcome.
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
    const std::size_t FirstHost = Fleet_.random().below(CoreFleet::MaxHosts);
    for (std::size_t I = 0; I < CoreFleet::MaxHosts; ++I)
      if (const std::optional<AddressAnswer> Response =
              Fleet_.addresses((FirstHost + I) % CoreFleet::MaxHosts)) {
        Cached = CachedAddresses{*Response, Fleet_.now()};
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
        Request->OptionIndex_ = I;
    if (HasToken) {
      while (Options[Request->OptionIndex_].Token_.empty())
        if (++Request->OptionIndex_ >= Options.size())
          return;
      Request->Token_ = Options[Request->OptionIndex_].Token_;
    }
    send(Request);
  }

  static std::size_t hostOf(const AddressOption &Option) {
    return Option.Host_.str().at(1) - '0';
  }

  void send(const CallerRequestPtr &Request) {
    const SendPtr NewSend = std::make_shared<FleetSend>();
    NewSend->Key_ = {Request->Request_, Request->Resend_};
    NewSend->Token_ = Request->Token_;
    NewSend->Host_ =
        hostOf(Request->Cached_.Answer_.Hosts_[Request->OptionIndex_]);
    if (Fleet_.isStoppedByPlan(NewSend->Host_) &&
        Fleet_.now() - Request->Cached_.ReceivedAt_ <= AddressAnswerTtl)
      Fleet_.ledger().violate(Fleet_.now(), 6,
                              "h" + std::to_string(NewSend->Host_) +
                                  " stopped while its address may be kept");
    NewSend->OnEnd_ = [this, Request](const SendResult &Result) {
      handleSendEnd(Request, Result);
    };
    ++Request->Sends_;
    Fleet_.send(NewSend);
  }

  void handleSendEnd(const CallerRequestPtr &Request,
                     const SendResult &Result) {
    if ((Result.HasReply_ && !Result.Refusal_) || Request->Sends_ >= MaxSends)
      return;
    const Outcome ReportedOutcome =
        Result.Refusal_ ? Result.Refusal_->Outcome_ : Outcome::Unknown;
    if (ReportedOutcome == Outcome::Ran)
      return;
    const std::size_t OptionCount = Request->Cached_.Answer_.Hosts_.size();
    if (Request->Token_.empty())
      Request->OptionIndex_ = (Request->OptionIndex_ + 1) % OptionCount;
    else if (ReportedOutcome == Outcome::NotRun)
      ++Request->Resend_;
    else if (++Request->UnknownOutcomes_ == 2)
      Request->OptionIndex_ = (Request->OptionIndex_ + 1) % OptionCount;
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
