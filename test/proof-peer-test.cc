// Tests which host is asked for a proof.

#include "kumquatpitch/admission/proof-peer.h"

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

static Member host(const char *Id, const char *Domain,
                   MemberState State = MemberState::Serving) {
  Member Host;
  Host.Id_ = HostId(Id);
  Host.Domain_ = FailureDomain(Domain);
  Host.State_ = State;
  return Host;
}

TEST_GROUP(ProofPeer) {
  SeededRandom Random_{1};
  const Member Self_ = host("self", "yaba");

  std::string choose(const std::vector<Member> &All, std::uint32_t Unanswered) {
    const std::optional<Member> Chosen =
        chooseProofPeer(Self_, All, HostId("reader"), Unanswered, Random_);
    return Chosen ? Chosen->Id_.str() : "none";
  }
};

TEST(ProofPeer, ReaderThenOwnDomainThenAnotherAreAsked) {
  const std::vector<Member> All{Self_, host("reader", "yaba"),
                                host("far", "ikeja")};
  STRCMP_EQUAL("reader", choose(All, 0).c_str());
  STRCMP_EQUAL("reader", choose(All, 1).c_str());
  STRCMP_EQUAL("far", choose(All, 2).c_str());
  STRCMP_EQUAL("reader", choose(All, 3).c_str());
}

// Guards against a host that asks for ever a reader which is gone.
TEST(ProofPeer, LostHostsAreNotAsked) {
  const std::vector<Member> All{Self_,
                                host("reader", "yaba", MemberState::Lost),
                                host("near", "yaba"), host("far", "ikeja")};
  STRCMP_EQUAL("near", choose(All, 0).c_str());
  STRCMP_EQUAL("far", choose(All, 2).c_str());
  STRCMP_EQUAL("near", choose(All, 3).c_str());
}

TEST(ProofPeer, OnlyHostOfItsDomainAsksAnother) {
  STRCMP_EQUAL("far", choose({Self_, host("far", "ikeja")}, 0).c_str());
  STRCMP_EQUAL("none", choose({Self_}, 0).c_str());
}
