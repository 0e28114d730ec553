#include "core/metrics_text.h"

#include <CppUTest/TestHarness.h>

#include "property.h"

namespace fuchsiaweir {

TEST_GROUP(MetricsText){};

// Guards against sums that include series with other names or labels.
TEST(MetricsText, SumsSeriesByLabel) {
  const MetricsText text(
      "# HELP a b\n# TYPE a counter\na 3\nab 5\n"
      "r{kind=\"stream\",outcome=\"cut\"} 2\nr{kind=\"safe\",outcome=\"cut\"} 1e1\n"
      "r{kind=\"safe\",outcome=\"two words\"} 4 1700000000\n");
  DOUBLES_EQUAL(3, text.Value("a").value_or(-1), 0);
  CHECK_FALSE(text.Value("r").has_value());
  DOUBLES_EQUAL(16, text.Sum("r"), 0);
  DOUBLES_EQUAL(12, text.Sum("r", "outcome=\"cut\""), 0);
  DOUBLES_EQUAL(4, text.Sum("r", "outcome=\"two words\""), 0);
  DOUBLES_EQUAL(0, text.Sum("missing"), 0);
}

// Guards against a command that terminates on a response in another format.
TEST(MetricsText, AcceptsArbitraryText) {
  CheckProperty("arbitrary text is accepted", [] {
    const MetricsText text(*rc::gen::arbitrary<std::string>());
    RC_ASSERT(text.Sum("a") == text.Sum("a"));
  });
}

}  // namespace fuchsiaweir
