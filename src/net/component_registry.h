#ifndef FUCHSIAWEIR_NET_COMPONENT_REGISTRY_H_
#define FUCHSIAWEIR_NET_COMPONENT_REGISTRY_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "net/awaitable.h"

namespace fuchsiaweir {

/// A named part of a process. Components look each other up by name in the registry.
class Component {
 public:
  virtual ~Component() = default;

  /// Components start in the order in which they were added.
  virtual void Start() {}
  /// Lets running requests finish. Components stop in reverse order.
  virtual Awaitable<void> Stop() { co_return; }
};

/// The components of a process, in start order.
class ComponentRegistry {
 public:
  explicit ComponentRegistry(boost::asio::io_context& io) : io_(io) {}

  /// Creates a component under a name and returns it. A duplicate name throws std::logic_error.
  template <typename T, typename... Args>
  T& Add(const std::string& name, Args&&... args) {
    auto component = std::make_unique<T>(std::forward<Args>(args)...);
    T& reference = *component;
    Register(name, std::move(component));
    return reference;
  }

  /// Returns the component with this name. Throws std::logic_error if it is missing or has another
  /// type, which is an error in the process's setup code.
  template <typename T>
  T& Find(const std::string& name) {
    T* component = dynamic_cast<T*>(FindComponent(name));
    if (component == nullptr) throw std::logic_error("no such component: " + name);
    return *component;
  }

  void StartAll();
  Awaitable<void> StopAll();

  boost::asio::io_context& io() { return io_; }

 private:
  void Register(const std::string& name, std::unique_ptr<Component> component);
  Component* FindComponent(const std::string& name);

  boost::asio::io_context& io_;
  std::vector<std::pair<std::string, std::unique_ptr<Component>>> components_;
};

}  // namespace fuchsiaweir

#endif  // FUCHSIAWEIR_NET_COMPONENT_REGISTRY_H_
