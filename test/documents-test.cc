// Checks that the table of result codes and the example documents in docs/
// match the code.

#include "kumquatpitch/contract.h"
#include "kumquatpitch/result-code.h"
#include "kumquatpitch/service-entry.h"

#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace kumquatpitch;

namespace {

std::string readDocument(const std::string &Name) {
  std::ifstream File(std::string(KUMQUATPITCH_SOURCE_DIR) + "/docs/" + Name);
  CHECK(File.good());
  return {std::istreambuf_iterator<char>(File),
          std::istreambuf_iterator<char>()};
}

/// Cells of a row of a Markdown table, without the spaces around them.
std::vector<std::string> tableCells(const std::string &Line) {
  std::vector<std::string> Cells;
  std::istringstream Row(Line.substr(1));
  for (std::string Cell; std::getline(Row, Cell, '|');)
    Cells.push_back(Cell.size() < 2 ? "" : Cell.substr(1, Cell.size() - 2));
  return Cells;
}

/// What the example entry of a service has to contain.
struct ExpectedService {
  const char *Service_;
  std::size_t Targets_;
  std::uint32_t Slots_;
};

void checkCustomer(const std::string &Customer,
                   const std::vector<ExpectedService> &Services) {
  Result<Contract> CustomerContract =
      parseContract(readDocument("examples-contract-" + Customer + ".json"));
  CHECK(!!CustomerContract);
  CHECK_EQUAL(Services.size(), CustomerContract->Services_.size());
  for (const ExpectedService &Expected : Services) {
    Result<ServiceEntry> Entry = parseServiceEntry(readDocument(
        std::string("examples-service-") + Expected.Service_ + ".json"));
    CHECK(!!Entry);
    STRCMP_EQUAL(Expected.Service_, Entry->Service_.str().c_str());
    CHECK(Entry->Customer_ == CustomerContract->Customer_);
    CHECK(findTerms(*CustomerContract, Entry->Service_) != nullptr);
    CHECK_EQUAL(Expected.Targets_, Entry->Targets_.size());
    std::set<Endpoint> Addresses;
    for (const Target &Server : Entry->Targets_) {
      CHECK_EQUAL(Expected.Slots_, Server.Slots_);
      CHECK_EQUAL(400, Server.Connections_);
      CHECK(Addresses.insert(Server.Address_).second);
    }
  }
}

} // namespace

TEST_GROUP(Documents){};

// Guards against a table of result codes in errors.md that differs from the
// codes in the program.
TEST(Documents, ErrorTableMatchesResultCodes) {
  std::istringstream Page(readDocument("errors.md"));
  std::vector<std::string> Rows;
  for (std::string Line; std::getline(Page, Line);)
    if (Line.size() > 2 && Line[0] == '|' && Line[2] >= '0' && Line[2] <= '9')
      Rows.push_back(Line);
  const std::vector<ResultCode> &Codes = allResultCodes();
  CHECK_EQUAL(Codes.size(), Rows.size());
  for (std::size_t Index = 0; Index < Codes.size(); ++Index) {
    const std::vector<std::string> Cells = tableCells(Rows[Index]);
    CHECK_EQUAL(5, Cells.size());
    STRCMP_EQUAL(std::to_string(static_cast<int>(Codes[Index])).c_str(),
                 Cells[0].c_str());
    STRCMP_EQUAL(resultCodeName(Codes[Index]), Cells[1].c_str());
    STRCMP_EQUAL(std::to_string(httpStatus(Codes[Index])).c_str(),
                 Cells[2].c_str());
    const std::set<std::string> Outcomes{"-",
                                         "ran",
                                         "not-run",
                                         "unknown",
                                         "not-run, unknown",
                                         "unknown, not-run"};
    CHECK_EQUAL(1, Outcomes.count(Cells[3]));
    CHECK(Cells[4].size() > 10);
  }
}

// Guards against example documents that `check` would reject, and against
// example services that do not belong to the customer of their contract.
TEST(Documents, ExamplesAreValid) {
  checkCustomer(
      "adebayo-okonkwo",
      {{"rota-board", 6, 3}, {"nuptial-desk", 14, 3}, {"stem-room", 16, 3}});
  checkCustomer("imigongo",
                {{"proofdesk", 6, 2}, {"workshop", 14, 2}, {"ledger", 14, 2}});
}
