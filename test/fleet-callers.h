// Callers of the fault matrix. They keep addresses and tokens, resend with the
// same token and id, and move to the next host, as docs/callers.md says; after
// that they go further and show a token to a host that it does not name.

#ifndef KUMQUATPITCH_FLEET_CALLERS_H
#define KUMQUATPITCH_FLEET_CALLERS_H

#include "core-fleet.h"

#include <array>
#include <memory>
#include <optional>

namespace kumquatpitch::test {

class FleetCallers {
public:
  explicit FleetCallers(CoreFleet &Fleet) : Fleet_(Fleet) {}

  /// Starts one request each Period until stop(); every other one may not be
  /// repeated.
  void start() {
    IsRunning_ = true;
    next();
  }
  void stop() { IsRunning_ = false; }

  /// All requests go to one host, where the address answer names it.
  void concentrateOn(std::size_t Host) { Only_ = Host; }

  /// Many requests at once at one host.
  void burst(std::size_t Host, int Count) {
    const std::optional<std::size_t> Before = Only_;
    Only_ = Host;
    for (int I = 0; I < Count; ++I)
      issue();
    Only_ = Before;
  }

private:
  static constexpr Duration Period = std::chrono::milliseconds(25);
  static constexpr Duration Pause = std::chrono::milliseconds(400);
  static constexpr unsigned MostSends = 4;

  struct KeptAnswer {
    AddressAnswer Answer_;
    TimePoint Taken_;
  };

  struct Work {
    std::uint64_t Request_ = 0;
    std::uint32_t Resend_ = 0;
    KeptAnswer Kept_;
    std::size_t Option_ = 0;
    std::string Token_;
    unsigned Sends_ = 0;
    unsigned Unknown_ = 0;
  };
  using WorkPtr = std::shared_ptr<Work>;

  void next() {
    if (!IsRunning_)
      return;
    issue();
    Fleet_.events().after(Period, [this] { next(); });
  }

  std::optional<KeptAnswer> keptAnswer() {
    std::optional<KeptAnswer> &Kept = Kept_[NextRequest_ % Kept_.size()];
    if (Kept && Fleet_.now() - Kept->Taken_ <= AddressKeepTime)
      return Kept;
    const std::size_t First = Fleet_.random().below(CoreFleet::MaxHosts);
    for (std::size_t I = 0; I < CoreFleet::MaxHosts; ++I)
      if (const std::optional<AddressAnswer> Answer =
              Fleet_.addresses((First + I) % CoreFleet::MaxHosts)) {
        Kept = KeptAnswer{*Answer, Fleet_.now()};
        return Kept;
      }
    return std::nullopt;
  }

  void issue() {
    const std::uint64_t Id = ++NextRequest_;
    const std::optional<KeptAnswer> Kept = keptAnswer();
    if (!Kept || Kept->Answer_.Hosts_.empty())
      return;
    const WorkPtr Of = std::make_shared<Work>();
    Of->Request_ = Id;
    Of->Kept_ = *Kept;
    const std::vector<AddressOption> &Options = Kept->Answer_.Hosts_;
    const bool HasToken = Id / Kept_.size() % 2 == 0;
    for (std::size_t I = 0; I < Options.size(); ++I)
      if (Only_ && hostOf(Options[I]) == *Only_)
        Of->Option_ = I;
    if (HasToken) {
      while (Options[Of->Option_].Token_.empty())
        if (++Of->Option_ >= Options.size())
          return;
      Of->Token_ = Options[Of->Option_].Token_;
    }
    send(Of);
  }

  static std::size_t hostOf(const AddressOption &Option) {
    return Option.Host_.str().at(1) - '0';
  }

  void send(const WorkPtr &Of) {
    const SendPtr Sent = std::make_shared<FleetSend>();
    Sent->Key_ = {Of->Request_, Of->Resend_};
    Sent->Token_ = Of->Token_;
    Sent->Host_ = hostOf(Of->Kept_.Answer_.Hosts_[Of->Option_]);
    if (Fleet_.isStoppedByPlan(Sent->Host_) &&
        Fleet_.now() - Of->Kept_.Taken_ <= AddressKeepTime)
      Fleet_.ledger().violate(Fleet_.now(), 6,
                              "h" + std::to_string(Sent->Host_) +
                                  " stopped while its address may be kept");
    Sent->OnEnd_ = [this, Of](const SendEnd &End) { ended(Of, End); };
    ++Of->Sends_;
    Fleet_.send(Sent);
  }

  void ended(const WorkPtr &Of, const SendEnd &End) {
    if ((End.HasReply_ && !End.Refusal_) || Of->Sends_ >= MostSends)
      return;
    const Outcome Told =
        End.Refusal_ ? End.Refusal_->Outcome_ : Outcome::Unknown;
    if (Told == Outcome::Ran)
      return;
    const std::size_t Options = Of->Kept_.Answer_.Hosts_.size();
    if (Of->Token_.empty())
      Of->Option_ = (Of->Option_ + 1) % Options;
    else if (Told == Outcome::NotRun)
      ++Of->Resend_;
    else if (++Of->Unknown_ == 2)
      Of->Option_ = (Of->Option_ + 1) % Options;
    Fleet_.events().after(Pause * Of->Sends_, [this, Of] { send(Of); });
  }

  CoreFleet &Fleet_;
  bool IsRunning_ = false;
  std::optional<std::size_t> Only_;
  std::uint64_t NextRequest_ = 0;
  std::array<std::optional<KeptAnswer>, 8> Kept_;
};

} // namespace kumquatpitch::test

#endif
