// Delegation of the hosts' parts of the limits. See limit-parts.h.

#include "kumquatpitch/admission/limit-parts.h"

#include <algorithm>

namespace kumquatpitch {

bool LimitPartHolder::isAnswerable(const HostId &Coordinator,
                                   TimePoint Now) const {
  return Newest_ && Newest_->Question_.From_ == Coordinator &&
         Now - Newest_->ReceivedAt_ < LimitPartTerm;
}

std::vector<AddressedPartOffer>
LimitPartHolder::offers(const std::optional<HostId> &Coordinator,
                        TimePoint Now) {
  std::vector<AddressedPartOffer> Offers;
  if (Coordinator_ != Coordinator) {
    Coordinator_ = Coordinator;
    Newest_.reset();
  }
  if (Delegation_ && Delegation_->EndsAt_ <= Now)
    Delegation_.reset();
  const bool HasReceiver = Divisor_ > 0 && Coordinator.has_value();
  if (Delegation_ && (!HasReceiver || Delegation_->To_ != *Coordinator))
    Offers.push_back({Delegation_->To_,
                      {Self_, Delegation_->Incarnation_, Delegation_->Question_,
                       Divisor_, true}});
  if (!HasReceiver)
    return Offers;
  const bool IsFree =
      !Delegation_ ||
      (Delegation_->To_ == *Coordinator && Newest_ &&
       Delegation_->Incarnation_ == Newest_->Question_.Incarnation_);
  if (!IsFree || !isAnswerable(*Coordinator, Now)) {
    Offers.push_back({*Coordinator, {Self_, 0, 0, 0, false}});
    return Offers;
  }
  const LimitPartQuestion &Question = Newest_->Question_;
  const TimePoint EndsAt =
      Newest_->ReceivedAt_ + LimitPartTerm + LimitPartDriftMargin;
  Delegation_ =
      Delegation{*Coordinator, Question.Incarnation_, Question.Question_,
                 Delegation_ ? std::max(Delegation_->EndsAt_, EndsAt) : EndsAt};
  Offers.push_back(
      {*Coordinator,
       {Self_, Question.Incarnation_, Question.Question_, Divisor_, false}});
  return Offers;
}

void LimitPartHolder::onQuestion(const LimitPartQuestion &Question,
                                 TimePoint Now) {
  if (Question.IsRelease_) {
    if (Delegation_ && Delegation_->To_ == Question.From_ &&
        Delegation_->Incarnation_ == Question.Incarnation_ &&
        Delegation_->Question_ <= Question.Question_)
      Delegation_.reset();
    return;
  }
  if (!Coordinator_ || Question.From_ != *Coordinator_)
    return;
  // A question that arrives late must not replace a newer one, and a doubled
  // one keeps the time of its first arrival.
  if (!Newest_ || Newest_->Question_.Incarnation_ < Question.Incarnation_ ||
      (Newest_->Question_.Incarnation_ == Question.Incarnation_ &&
       Newest_->Question_.Question_ < Question.Question_))
    Newest_ = ReceivedQuestion{Question, Now};
}

void LimitPartLedger::setHolders(const std::set<HostId> &Holders) {
  Holders_ = Holders;
  std::erase_if(Parts_, [&](const std::pair<const HostId, Part> &Entry) {
    return !Holders_.contains(Entry.first);
  });
}

void LimitPartLedger::accept(Part &Delegated, const LimitPartOffer &Offer) {
  const std::vector<SentQuestion>::const_iterator It = std::ranges::find(
      Delegated.Questions_, Offer.Question_, &SentQuestion::Question_);
  if (It == Delegated.Questions_.end() || Offer.Divisor_ == 0 ||
      Offer.Question_ < Delegated.Answered_)
    return;
  // Of two answers to one question, the smaller part counts.
  Delegated.Divisor_ = Offer.Question_ == Delegated.Answered_
                           ? std::max(Delegated.Divisor_, Offer.Divisor_)
                           : Offer.Divisor_;
  Delegated.Answered_ = Offer.Question_;
  Delegated.EndsAt_ = It->SentAt_ + LimitPartTerm;
}

LimitPartQuestion LimitPartLedger::onOffer(const LimitPartOffer &Offer,
                                           bool Accepting, TimePoint Now) {
  constexpr std::size_t MaxQuestions = 4;
  if (Offer.IsWithdrawal_ || !Accepting) {
    Parts_.erase(Offer.From_);
    return {Self_, Incarnation_, LastQuestion_, true};
  }
  LimitPartQuestion Question{Self_, Incarnation_, ++LastQuestion_, false};
  if (!Holders_.contains(Offer.From_))
    return Question;
  Part &Delegated = Parts_[Offer.From_];
  if (Offer.Coordinator_ == Incarnation_)
    accept(Delegated, Offer);
  if (Delegated.Questions_.size() == MaxQuestions)
    Delegated.Questions_.erase(Delegated.Questions_.begin());
  Delegated.Questions_.push_back({Question.Question_, Now});
  return Question;
}

double LimitPartLedger::share(TimePoint Now) const {
  double Sum = 0;
  for (const std::pair<const HostId, Part> &Entry : Parts_)
    if (Entry.second.Divisor_ > 0 && Now < Entry.second.EndsAt_)
      Sum += 1 / static_cast<double>(std::max<std::size_t>(
                     Entry.second.Divisor_, Holders_.size()));
  return std::min(Sum, 1.0);
}

} // namespace kumquatpitch
