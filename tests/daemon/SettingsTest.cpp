#include "anvil/daemon/Settings.h"

#include <map>

#include <boost/test/unit_test.hpp>

namespace {

using namespace anvil;
using daemon::Settings;
using daemon::StartMode;

struct Sample {
  std::string m_Name;
  int64_t m_Limit = 0;
  Duration m_Drain{0};
  bool m_Verbose = false;
};

absl::StatusOr<StartMode>
readSample(Sample &Into, const std::vector<std::string> &Arguments,
           const std::map<std::string, std::string> &Variables) {
  Settings Reader("sample", "A sample.");
  Reader.addName("name", "", "Name of the process.", Into.m_Name);
  Reader.addInteger("max-requests", 10, 1, 100, "Bound.", Into.m_Limit);
  Reader.addDuration("drain-limit", "30s", std::chrono::seconds(1),
                     std::chrono::hours(1), "Limit.", Into.m_Drain);
  Reader.addSwitch("verbose", "Log more.", Into.m_Verbose);
  return Reader.read(
      Arguments,
      [&Variables](const std::string &Name) -> std::optional<std::string> {
        const auto It = Variables.find(Name);
        if (It == Variables.end())
          return std::nullopt;
        return It->second;
      });
}

} // namespace

BOOST_AUTO_TEST_SUITE(SettingsTest)

// Guards against a variable that overrides the flag an operator has just typed.
BOOST_AUTO_TEST_CASE(FlagWinsOverVariableWinsOverDefault) {
  Sample Read;
  const auto Mode =
      readSample(Read, {"--name=a", "--verbose"},
                 {{"ANVIL_NAME", "b"}, {"ANVIL_MAX_REQUESTS", "7"}});

  BOOST_REQUIRE_MESSAGE(Mode.ok(), Mode.status());
  BOOST_TEST((*Mode == StartMode::Run));
  BOOST_TEST(Read.m_Name == "a");
  BOOST_TEST(Read.m_Limit == 7);
  BOOST_TEST(Read.m_Drain.count() == 30000000);
  BOOST_TEST(Read.m_Verbose);
}

// Guards against an operator who fixes one wrong setting per start.
BOOST_AUTO_TEST_CASE(NamesEveryWrongSettingInOneMessage) {
  Sample Read;
  const auto Mode =
      readSample(Read, {"--drain-limit=5", "--max-requests=0"}, {});

  BOOST_REQUIRE(!Mode.ok());
  BOOST_TEST((layerErrorOf<daemon::SettingsErrc>(Mode.status()) ==
              daemon::SettingsErrc::Invalid));
  const std::string Text(Mode.status().message());
  for (const char *Part :
       {"--name (ANVIL_NAME): required",
        "--max-requests (flag): must be a whole number from 1 to 100",
        "--drain-limit (flag): must be a whole number with the unit"})
    BOOST_TEST(Text.find(Part) != std::string::npos,
               "missing '" << Part << "' in: " << Text);
}

struct BadArguments {
  std::vector<std::string> m_Arguments;
  std::string m_Part;
};

// Guards against a mistyped flag that is silently ignored.
BOOST_AUTO_TEST_CASE(RefusesUnknownFlagsAndWords) {
  for (const BadArguments &Case :
       {BadArguments{{"--name=a", "--nmae=b"}, "nmae"},
        {{"--name=a", "stray"}, "stray"},
        {{"--name=a", "--verbose=maybe"}, "must be true or false"},
        {{"--name=a b"}, "letters, digits"}}) {
    Sample Read;
    const auto Mode = readSample(Read, Case.m_Arguments, {});
    BOOST_REQUIRE(!Mode.ok());
    BOOST_TEST(std::string(Mode.status().message()).find(Case.m_Part) !=
                   std::string::npos,
               Mode.status());
  }
}

// Guards against --help and --version that demand the required settings first.
BOOST_AUTO_TEST_CASE(HelpAndVersionNeedNoOtherSetting) {
  Sample Read;
  BOOST_TEST((*readSample(Read, {"--help"}, {}) == StartMode::ShowHelp));
  BOOST_TEST((*readSample(Read, {"--version"}, {}) == StartMode::ShowVersion));
  BOOST_TEST(
      (*readSample(Read, {"--check", "--name=a"}, {}) == StartMode::CheckOnly));
}

struct DurationCase {
  std::string m_Text;
  int64_t m_Micros; ///< -1 if refused.
};

// Guards against a unit read as another, and against numbers that overflow.
BOOST_AUTO_TEST_CASE(ParsesDurationsWithUnits) {
  for (const DurationCase &Case : {DurationCase{"250us", 250},
                                   {"250ms", 250000},
                                   {"10s", 10000000},
                                   {"5m", 300000000},
                                   {"2h", 7200000000},
                                   {"10", -1},
                                   {"-1s", -1},
                                   {"1.5s", -1},
                                   {"ms", -1},
                                   {"", -1},
                                   {"99999999999999999h", -1}}) {
    const absl::StatusOr<Duration> Parsed = daemon::parseDuration(Case.m_Text);
    BOOST_TEST((Parsed.ok() ? Parsed->count() : -1) == Case.m_Micros,
               Case.m_Text);
  }
}

BOOST_AUTO_TEST_SUITE_END()
