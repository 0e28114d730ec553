#ifndef FUCHSIAWEIR_CORE_FINDINGS_H_
#define FUCHSIAWEIR_CORE_FINDINGS_H_

#include <string>
#include <vector>

namespace fuchsiaweir {

/// A problem in a file. `line` counts from 1; 0 stands for the whole file.
struct Finding {
  std::string file;
  int line = 0;
  std::string message;
};

/// Problems collected while reading one or more files, reported together.
class Findings {
 public:
  void Add(std::string file, int line, std::string message);

  bool empty() const { return items_.empty(); }
  const std::vector<Finding>& items() const { return items_; }

  /// Returns one "file:line: message" per line, ordered by file and line.
  std::string ToString() const;

 private:
  std::vector<Finding> items_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_CORE_FINDINGS_H_
