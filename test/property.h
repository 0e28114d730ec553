#ifndef FUCHSIAWEIR_TEST_PROPERTY_H_
#define FUCHSIAWEIR_TEST_PROPERTY_H_

#include <CppUTest/TestHarness.h>
#include <rapidcheck.h>

#include <string>
#include <utility>

/// Runs a RapidCheck property inside a CppUTest test and fails the test with the counterexample.
template <typename Property>
void CheckProperty(const std::string& description, Property&& property) {
  if (!rc::check(description, std::forward<Property>(property))) {
    FAIL(("property falsified: " + description).c_str());
  }
}

#endif  // FUCHSIAWEIR_TEST_PROPERTY_H_
