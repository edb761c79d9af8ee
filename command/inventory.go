package command

const inventoryExamples = `  rhubarbsail inventory check assets.csv --with rules.json
  rhubarbsail inventory diff assets.json
  rhubarbsail inventory load assets.csv --with rules.json --operator ana
  rhubarbsail inventory show --output json > assets.json

FILE is JSON (docs/CONFIG.md) or, if its name ends in .csv, an export of an
asset register with a header row. A file with findings changes nothing.`
