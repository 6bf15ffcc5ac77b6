// Reads of the store and their parts. See store-read.h.

#include "kumquatpitch/store-read.h"

namespace kumquatpitch {

void startRead(PublishedStateReader &Store, const ReadRequest &Request,
               Duration Wait, PublishedStateReader::Callback OnRead) {
  switch (Request.Kind_) {
  case ReadRequest::Kind::All:
    return Store.listAll(std::move(OnRead));
  case ReadRequest::Kind::Changes:
    return Store.readChanges(Request.After_, Wait, std::move(OnRead));
  case ReadRequest::Kind::TargetChanges:
    return Store.readTargetChanges(Request.After_, std::move(OnRead));
  case ReadRequest::Kind::Config:
    return Store.readConfig(Request.AllowStale_, std::move(OnRead));
  }
}

ReadRequest SplitRead::next() const {
  if (!HasTargets_)
    return ReadRequest{ReadRequest::Kind::TargetChanges, Changes_.After_};
  return ReadRequest{ReadRequest::Kind::Config};
}

void SplitRead::targetsRead(std::uint64_t UpTo, TimePoint AskedAt,
                            std::vector<TargetChange> Targets) {
  HasTargets_ = true;
  Changes_.UpTo_ = UpTo;
  Changes_.AskedAt_ = AskedAt;
  Changes_.Targets_ = std::move(Targets);
}

} // namespace kumquatpitch
