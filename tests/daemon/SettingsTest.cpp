#include "anvil/daemon/Settings.h"

#include <map>

#include <boost/test/unit_test.hpp>

namespace {

using namespace anvil;
using daemon::Settings;
using daemon::StartMode;

struct SampleSettings {
  std::string m_Name;
  int64_t m_Limit = 0;
  Duration m_Drain{0};
  bool m_Verbose = false;
  bool m_Colors = false;
};

absl::StatusOr<StartMode>
readSample(SampleSettings &Values, const std::vector<std::string> &Arguments,
           const std::map<std::string, std::string> &Variables) {
  Settings Reader("sample", "A sample.");
  Reader.addName("name", "", "Name of the process.", Values.m_Name);
  Reader.addInteger("max-requests", 10, 1, 100, "Bound.", Values.m_Limit);
  Reader.addDuration("drain-limit", "30s", std::chrono::seconds(1),
                     std::chrono::hours(1), "Limit.", Values.m_Drain);
  Reader.addSwitch("verbose", "Log more.", Values.m_Verbose);
  Reader.addSwitch("colors", "Use colors.", Values.m_Colors, true);
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

// Guards against an environment variable that overrides a flag, or a default
// that overrides either.
BOOST_AUTO_TEST_CASE(FlagOverridesVariableAndVariableOverridesDefault) {
  SampleSettings Values;
  const auto Mode =
      readSample(Values, {"--name=a", "--verbose"},
                 {{"ANVIL_NAME", "b"}, {"ANVIL_MAX_REQUESTS", "7"}});

  BOOST_REQUIRE_MESSAGE(Mode.ok(), Mode.status());
  BOOST_TEST((*Mode == StartMode::Run));
  BOOST_TEST(Values.m_Name == "a");
  BOOST_TEST(Values.m_Limit == 7);
  BOOST_TEST(Values.m_Drain.count() == 30000000);
  BOOST_TEST(Values.m_Verbose);
}

// Guards against a switch that is on by default and can't be switched off, or
// that takes a wrong word for "off".
BOOST_AUTO_TEST_CASE(ReadsASwitchThatIsOnByDefault) {
  SampleSettings Values;
  BOOST_TEST(readSample(Values, {"--name=a"}, {}).ok());
  BOOST_TEST(Values.m_Colors);
  BOOST_TEST(readSample(Values, {"--name=a", "--colors=false"}, {}).ok());
  BOOST_TEST(!Values.m_Colors);
  BOOST_TEST(readSample(Values, {"--name=a", "--colors"}, {}).ok());
  BOOST_TEST(Values.m_Colors);
  const auto Mode = readSample(Values, {"--name=a", "--colors=off"}, {});
  BOOST_REQUIRE(!Mode.ok());
  BOOST_TEST(
      Mode.status().message().find("--colors (flag): must be true or false") !=
      std::string::npos);
}

// Guards against a report of the first invalid setting only, which makes the
// operator start the process once per mistake.
BOOST_AUTO_TEST_CASE(ReportsEveryInvalidSettingInOneMessage) {
  SampleSettings Values;
  const auto Mode =
      readSample(Values, {"--drain-limit=5", "--max-requests=0"}, {});

  BOOST_REQUIRE(!Mode.ok());
  BOOST_TEST((layerErrorOf<daemon::SettingsErrc>(Mode.status()) ==
              daemon::SettingsErrc::Invalid));
  const std::string Text(Mode.status().message());
  for (const char *Substring :
       {"--name (ANVIL_NAME): required",
        "--max-requests (flag): must be a whole number from 1 to 100",
        "--drain-limit (flag): must be a whole number with the unit"})
    BOOST_TEST(Text.find(Substring) != std::string::npos,
               "missing '" << Substring << "' in: " << Text);
}

struct BadArguments {
  std::vector<std::string> m_Arguments;
  std::string m_ExpectedPart;
};

// Guards against a mistyped flag or a stray argument that is silently ignored.
BOOST_AUTO_TEST_CASE(RefusesUnknownFlagsAndWords) {
  for (const BadArguments &Case :
       {BadArguments{{"--name=a", "--nmae=b"}, "nmae"},
        {{"--name=a", "stray"}, "stray"},
        {{"--name=a", "--verbose=maybe"}, "must be true or false"},
        {{"--name=a b"}, "letters, digits"}}) {
    SampleSettings Values;
    const auto Mode = readSample(Values, Case.m_Arguments, {});
    BOOST_REQUIRE(!Mode.ok());
    BOOST_TEST(std::string(Mode.status().message()).find(Case.m_ExpectedPart) !=
                   std::string::npos,
               Mode.status());
  }
}

// Guards against --help and --version that fail because a required setting is
// missing.
BOOST_AUTO_TEST_CASE(HelpAndVersionNeedNoOtherSetting) {
  SampleSettings Values;
  BOOST_TEST((*readSample(Values, {"--help"}, {}) == StartMode::ShowHelp));
  BOOST_TEST(
      (*readSample(Values, {"--version"}, {}) == StartMode::ShowVersion));
  BOOST_TEST((*readSample(Values, {"--check", "--name=a"}, {}) ==
              StartMode::CheckOnly));
}

struct DurationCase {
  std::string m_Text;
  int64_t m_Micros; ///< -1 if refused.
};

// Guards against one unit being parsed as another, such as "ms" as "s", and
// against numbers that overflow.
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
