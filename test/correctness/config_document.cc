#include "core/config_document.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>
#include <string>
#include <vector>

#include "property.h"

namespace fuchsiaweir {
namespace {

constexpr AuditLimits kSmallLimits{/*max_records=*/4, /*page_records=*/3};
constexpr size_t kOperators = 3;

/// Model of the object API: conditional update by version, and responses that may be lost.
struct Platform {
  ConfigDocument document;
  std::map<int64_t, AuditPage> pages;

  bool Write(const ConfigDocument& next, int64_t expected_revision) {
    if (document.revision != expected_revision) return false;
    document = next;
    return true;
  }

  ChangeOutcome DetermineOutcome(const AuditRecord& record) const {
    ChangeOutcome outcome = DetermineChangeOutcome(document, record);
    for (int64_t page = document.audit_pages - 1; outcome == ChangeOutcome::kOlderPage && page >= 0;
         --page) {
      outcome = DetermineChangeOutcome(pages.at(page), record);
    }
    return outcome;
  }

  std::vector<AuditRecord> Trail() const {
    std::vector<AuditRecord> trail;
    for (int64_t page = 0; page < document.audit_pages; ++page) {
      const AuditPage& content = pages.at(page);
      trail.insert(trail.end(), content.records.begin(), content.records.end());
    }
    trail.insert(trail.end(), document.audit.begin(), document.audit.end());
    return trail;
  }
};

/// State of an operator's command between reading the document and determining the outcome.
struct Operator {
  enum class Step { kRead, kPage, kWrite, kLost };
  Step step = Step::kRead;
  ConfigUpdate update;

  const AuditRecord& record() const { return update.document.audit.back(); }
};

struct Race {
  Platform platform;
  std::vector<Operator> operators{kOperators};
  std::vector<ConfigUpdate> delayed;  ///< Writes still in transit whose sender has given up.
  std::set<std::string> accepted;
  std::set<std::string> rejected;
  int changes = 0;

  void Plan(Operator& op) {
    const std::string nonce = "n" + std::to_string(++changes);
    ConfigChange change{platform.document.revision,
                        "operator",
                        "2026-12-04T00:00:00Z",
                        "add",
                        nonce,
                        platform.document.inventory_ini + "; " + nonce + ".\n"};
    op.update = ApplyChange(platform.document, change, kSmallLimits).value();
    op.step = Operator::Step::kPage;
  }

  void Finish(Operator& op, bool took_effect) {
    (took_effect ? accepted : rejected).insert(op.record().nonce);
    op.step = Operator::Step::kRead;
  }

  bool Write(const ConfigUpdate& update) {
    return platform.Write(update.document, update.document.revision - 1);
  }

  void DetermineOutcome(Operator& op) {
    const ChangeOutcome outcome = platform.DetermineOutcome(op.record());
    if (outcome == ChangeOutcome::kUndecided) {
      op.step = Operator::Step::kWrite;
    } else {
      RC_ASSERT(outcome != ChangeOutcome::kOlderPage);
      Finish(op, outcome == ChangeOutcome::kAccepted);
    }
  }

  /// `fate` 0: response received; 1: written, but the response is lost; 2: delayed; else: request
  /// lost.
  void Send(Operator& op, int fate) {
    if (fate == 0) {
      // A retried write fails its condition if the first attempt took effect, so a refusal has to
      // be checked too.
      if (Write(op.update)) return Finish(op, true);
      return DetermineOutcome(op);
    }
    if (fate == 1) Write(op.update);
    if (fate == 2) delayed.push_back(op.update);
    op.step = Operator::Step::kLost;
  }

  void Advance(Operator& op, int fate) {
    switch (op.step) {
      case Operator::Step::kRead:
        return Plan(op);
      case Operator::Step::kPage:
        if (op.update.page) platform.pages.try_emplace(op.update.page->number, *op.update.page);
        op.step = Operator::Step::kWrite;
        return;
      case Operator::Step::kWrite:
        return Send(op, fate);
      case Operator::Step::kLost:
        return DetermineOutcome(op);
    }
  }

  void DeliverDelayed() {
    for (const ConfigUpdate& update : delayed) Write(update);
    delayed.clear();
  }
};

ConfigDocument DocumentAt(int64_t revisions) {
  ConfigDocument document;
  for (int64_t i = 0; i < revisions; ++i) {
    const ConfigChange change{i, "o", "t", "w", "n" + std::to_string(i), "; text\n"};
    document = ApplyChange(document, change, kSmallLimits).value().document;
  }
  return document;
}

}  // namespace

TEST_GROUP(ConfigDocument){};

// Guards against a change that is lost, applied twice, misreported or left without its audit record
// when operators write concurrently and requests or responses are lost, delayed or delivered after
// the sender has given up.
TEST(ConfigDocument, ConcurrentOperatorsLoseNoAcceptedChange) {
  CheckProperty("every accepted change is kept and has one audit record", [] {
    Race race;
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 4)));
    for (const auto& [who, fate] : steps) {
      if (who == kOperators) {
        race.DeliverDelayed();
      } else {
        race.Advance(race.operators[who], fate);
      }
    }
    race.DeliverDelayed();
    for (Operator& op : race.operators) {
      while (op.step != Operator::Step::kRead) race.Advance(op, 0);
    }

    std::set<std::string> recorded;
    int64_t revision = 0;
    for (const AuditRecord& record : race.platform.Trail()) {
      RC_ASSERT(record.old_revision == revision);
      RC_ASSERT(record.new_revision == ++revision);
      RC_ASSERT(recorded.insert(record.nonce).second);
    }
    RC_ASSERT(revision == race.platform.document.revision);
    RC_ASSERT(recorded == race.accepted);
    RC_ASSERT(race.platform.document.audit.size() <= kSmallLimits.max_records);
    for (const std::string& nonce : race.accepted) {
      RC_ASSERT(race.platform.document.inventory_ini.find("; " + nonce + ".\n") !=
                std::string::npos);
    }
    for (const std::string& nonce : race.rejected) {
      RC_ASSERT(race.platform.document.inventory_ini.find("; " + nonce + ".\n") ==
                std::string::npos);
    }
  });
}

// Guards against a codec that loses a field of the document or of a page.
TEST(ConfigDocument, DecodesWhatItEncodes) {
  CheckProperty("decode(encode(document)) == document", [](const std::string& text) {
    ConfigDocument document = DocumentAt(*rc::gen::inRange(0, 12));
    document.inventory_ini = text;
    RC_ASSERT(DecodeConfigDocument(EncodeConfigDocument(document)).value() == document);
    AuditPage page{*rc::gen::inRange(0, 100), document.audit};
    if (page.records.empty()) return;
    for (AuditRecord& record : page.records) record.what = text;
    RC_ASSERT(DecodeAuditPage(EncodeAuditPage(page)).value() == page);
  });
}

// Guards against a truncated or unrelated response that is accepted as a configuration.
TEST(ConfigDocument, DamagedDocumentsAreRejected) {
  CheckProperty("truncated documents and record gaps are errors", [](const std::string& junk) {
    ConfigDocument document = DocumentAt(*rc::gen::inRange(3, 12));
    const std::string text = EncodeConfigDocument(document);
    RC_ASSERT(DecodeConfigDocument(text.substr(0, *rc::gen::inRange<size_t>(0, text.size())))
                  .has_error());
    RC_ASSERT(DecodeConfigDocument(junk).has_error());
    RC_ASSERT(DecodeAuditPage(junk).has_error());
    document.audit.pop_back();
    RC_ASSERT(DecodeConfigDocument(EncodeConfigDocument(document)).has_error());
    ConfigDocument gap = DocumentAt(3);
    gap.audit.erase(gap.audit.begin() + 1);
    RC_ASSERT(DecodeConfigDocument(EncodeConfigDocument(gap)).has_error());
    RC_ASSERT(DecodeAuditPage(EncodeAuditPage({0, gap.audit})).has_error());
  });
}

// Guards against an invalid inventory or an oversized record that enters the configuration.
TEST(ConfigDocument, InvalidChangesAreRefused) {
  const ConfigDocument document = DocumentAt(2);
  const ConfigChange valid{2, "who", "when", "what", "nonce", ""};
  CHECK(ApplyChange(document, valid).has_value());
  std::map<ErrorCode, std::vector<ConfigChange>> faulty;
  faulty[ErrorCode::kConflict] = {{1, "who", "when", "what", "nonce", ""}};
  faulty[ErrorCode::kBadRequest] = {{2, "", "when", "what", "nonce", ""},
                                    {2, "who", "when", "wh\nat", "nonce", ""},
                                    {2, "who", "when", std::string(513, 'x'), "nonce", ""},
                                    {2, "who", "when", "what", "nonce", "[colour red]\na = b\n"}};
  faulty[ErrorCode::kTooLarge] = {{2, "who", "when", "what", "nonce", std::string(999'999, '\n')}};
  for (const auto& [code, changes] : faulty) {
    for (const ConfigChange& change : changes) {
      const Result<ConfigUpdate> update = ApplyChange(document, change);
      CHECK(update.has_error());
      CHECK(update.error().code == code);
    }
  }
}

// Guards against a document that exceeds the object API's limit at the design size: 330 teams, 600
// runners on 340 hosts, and audit records of maximum size.
TEST(ConfigDocument, DesignSizeFitsIntoOneObject) {
  std::string ini = "[data_centre catania-nord]\nregion = etnee-region\n";
  for (int i = 0; i < 14; ++i) {
    ini += "[model model-name-" + std::to_string(i) + "]\nversion = 2026-12-04\n";
  }
  for (int i = 0; i < 340; ++i) {
    ini += "[host catania-nord-host-" + std::to_string(i) +
           "]\ndata_centre = catania-nord\naddress = 10.100.100." + std::to_string(i) +
           "\nport = 9000\nrole = agent\nin_service = yes\n";
  }
  for (int i = 0; i < 600; ++i) {
    ini += "[runner catania-nord-runner-" + std::to_string(i) + "]\nhost = catania-nord-host-" +
           std::to_string(i % 340) + "\nmodel = model-name-" + std::to_string(i % 14) +
           "\naddress = 10.100.100.100\nport = 9100\nchecks_fence = no\ncold_limit = 2\n"
           "max_concurrent = 64\nprefill_tokens_per_second = 100000\ncache_blocks = 100000\n";
  }
  for (int i = 0; i < 330; ++i) {
    const std::string digits = std::to_string(1000 + i);
    ini += "[team team-with-a-long-name-" + digits + "]\nkey_digests = " + std::string(60, 'a') +
           digits + "," + std::string(60, 'b') + digits +
           "\nweight = 10\nmax_concurrent = 1000\ntokens_per_second = 1000000\n";
  }
  ConfigDocument document;
  document.inventory_ini = ini;
  const AuditLimits limits;
  while (document.audit.size() + 1 < limits.max_records) {
    // Quotes take two bytes each in JSON: the longest encoding that a record may have.
    document.audit.push_back(
        {std::string(kMaxAuditNameBytes, '"'), std::string(kMaxAuditNameBytes, '"'),
         std::string(kMaxAuditTextBytes, '"'), std::string(kMaxAuditNameBytes, '"'),
         document.revision, document.revision + 1});
    ++document.revision;
  }
  const Result<ConfigUpdate> update =
      ApplyChange(document, {document.revision, "who", "when", "what", "nonce", ini}, limits);
  CHECK_TEXT(update.has_value(), update.has_error() ? update.error().message.c_str() : "");
}

}  // namespace fuchsiaweir
