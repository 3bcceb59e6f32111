#include "anvil/workload/Policy.h"

#include <algorithm>
#include <set>
#include <string>
#include <tuple>
#include <utility>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"

// Declared by the generated code for the use as a key.
bool anvil::wire::JobAddress::operator<(const JobAddress &Other) const {
  return std::tie(host, path) < std::tie(Other.host, Other.path);
}

namespace anvil::workload {

namespace {

// Largest accepted job. Gangs may have up to 256 members, and a wide step of
// independent tasks may have several times as many.
constexpr int32_t MaxTasksPerStep = 4096;
constexpr size_t MaxSteps = 64;

absl::Status invalidPolicy(std::string_view Text) {
  return makeLayerError(absl::StatusCode::kInvalidArgument,
                        WorkloadErrc::InvalidPolicy, Text);
}

absl::Status invalidSpec(size_t Step, std::string_view Text) {
  return makeLayerError(absl::StatusCode::kInvalidArgument,
                        WorkloadErrc::InvalidSpec,
                        absl::StrCat("step ", Step, ": ", toAbsl(Text)));
}

absl::Status checkQueues(const wire::PolicyDocument &Policy) {
  std::set<std::string> Services;
  for (const wire::ServicePolicy &Each : Policy.services)
    Services.insert(Each.name);
  std::set<std::pair<std::string, std::string>> Routes;
  std::set<std::string> Names;
  for (const wire::QueuePolicy &Each : Policy.queues) {
    if (!Names.insert(Each.name).second)
      return invalidPolicy(absl::StrCat("two queues named ", Each.name));
    if (!Services.contains(Each.serviceName))
      return invalidPolicy(absl::StrCat("queue ", Each.name,
                                        " names the unknown service ",
                                        Each.serviceName));
    if (!Routes.emplace(Each.host, Each.pathPrefix).second)
      return invalidPolicy(absl::StrCat("queue ", Each.name,
                                        " has the host and prefix of "
                                        "another queue"));
    if (Each.timeoutMs <= 0)
      return invalidPolicy(
          absl::StrCat("queue ", Each.name, " has no positive timeout"));
    if (Each.maxAttempts < 1)
      return invalidPolicy(
          absl::StrCat("queue ", Each.name, " allows no attempt"));
  }
  return absl::OkStatus();
}

absl::Status checkWorkspaces(const wire::PolicyDocument &Policy) {
  std::set<std::string> Keys;
  std::set<std::string> Names;
  for (const wire::WorkspacePolicy &Each : Policy.workspaces) {
    if (!Names.insert(Each.name).second)
      return invalidPolicy(absl::StrCat("two workspaces named ", Each.name));
    std::set<std::string> Own;
    for (const std::string &Key : Each.keys)
      if (Own.insert(Key).second && !Keys.insert(Key).second)
        return invalidPolicy(absl::StrCat("workspace ", Each.name,
                                          " holds a key of another workspace"));
  }
  return absl::OkStatus();
}

absl::Status checkStep(const wire::WorkloadSpec &Spec, size_t Number) {
  const wire::StepSpec &Step = Spec.steps[Number];
  if (Step.tasks < 1 || Step.tasks > MaxTasksPerStep)
    return invalidSpec(Number, absl::StrCat("the count of tasks must be 1 to ",
                                            MaxTasksPerStep));
  const wire::ResourceAmounts &Need = Step.perTask;
  if (Need.milliCores < 0 || Need.memoryMib < 0 || Need.accelerators < 0)
    return invalidSpec(Number, "an amount is negative");
  if (Step.maxTasksPerWorker < 0 || Step.estimateMs < 0)
    return invalidSpec(Number, "a number is negative");
  for (const int32_t Earlier : Step.dependsOn)
    if (Earlier < 0 || Earlier >= static_cast<int32_t>(Number))
      return invalidSpec(Number, "depends on a step that is not before it");
  return absl::OkStatus();
}

} // namespace

absl::Status checkPolicy(const wire::PolicyDocument &Policy) {
  if (Policy.version <= 0)
    return invalidPolicy("the version is not positive");
  std::set<std::string> Services;
  for (const wire::ServicePolicy &Each : Policy.services)
    if (!Services.insert(Each.name).second)
      return invalidPolicy(absl::StrCat("two services named ", Each.name));
  if (absl::Status Status = checkQueues(Policy); !Status.ok())
    return Status;
  return checkWorkspaces(Policy);
}

const wire::QueuePolicy *findQueue(const wire::PolicyDocument &Policy,
                                   std::string_view Host,
                                   std::string_view Path) {
  const wire::QueuePolicy *Best = nullptr;
  for (const wire::QueuePolicy &Each : Policy.queues) {
    if (!absl::EqualsIgnoreCase(Each.host, toAbsl(Host)) ||
        !Path.starts_with(Each.pathPrefix))
      continue;
    if (!Best || Each.pathPrefix.size() > Best->pathPrefix.size())
      Best = &Each;
  }
  return Best;
}

wire::JobAddress jobAddressOf(std::string_view Host, std::string_view Path) {
  wire::JobAddress Result;
  Result.host = absl::AsciiStrToLower(toAbsl(Host));
  Result.path = std::string(Path.substr(0, Path.rfind('/') + 1));
  return Result;
}

const wire::QueuePolicy *queueNamed(const wire::PolicyDocument &Policy,
                                    std::string_view Name) {
  const auto It = std::find_if(
      Policy.queues.begin(), Policy.queues.end(),
      [&](const wire::QueuePolicy &Each) { return Each.name == Name; });
  return It == Policy.queues.end() ? nullptr : &*It;
}

const wire::WorkspacePolicy *workspaceOf(const wire::PolicyDocument &Policy,
                                         std::string_view Key) {
  for (const wire::WorkspacePolicy &Each : Policy.workspaces)
    if (std::find(Each.keys.begin(), Each.keys.end(), Key) != Each.keys.end())
      return &Each;
  return nullptr;
}

const wire::WorkspacePolicy *workspaceNamed(const wire::PolicyDocument &Policy,
                                            std::string_view Name) {
  const auto It = std::find_if(
      Policy.workspaces.begin(), Policy.workspaces.end(),
      [&](const wire::WorkspacePolicy &Each) { return Each.name == Name; });
  return It == Policy.workspaces.end() ? nullptr : &*It;
}

absl::Status checkSpec(const wire::WorkloadSpec &Spec) {
  if (Spec.steps.empty() || Spec.steps.size() > MaxSteps)
    return invalidSpec(0, absl::StrCat("a job has 1 to ", MaxSteps, " steps"));
  for (size_t Number = 0; Number < Spec.steps.size(); ++Number)
    if (absl::Status Status = checkStep(Spec, Number); !Status.ok())
      return Status;
  if (Spec.repeats < 0 || Spec.intervalMs < 0)
    return invalidSpec(0, "a repetition is negative");
  return absl::OkStatus();
}

} // namespace anvil::workload
