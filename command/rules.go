package command

const rulesExamples = `  rhubarbsail rules check rules.json
  rhubarbsail rules diff rules.json
  rhubarbsail rules load rules.json --operator ana
  rhubarbsail rules show

A file with findings changes nothing.`
